package org.quetzalvane.core.config;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;

/**
 * The newest configuration records as they were read from the log, kept for nodes that cannot reach the log.
 *
 * <p>Invariants: the records have consecutive offsets; their total size stays within the limit, and the oldest are
 * dropped first. Not thread-safe.
 */
public final class RecentRecords {
    private final long limitBytes;
    private final Deque<byte[]> records = new ArrayDeque<>();
    private long bytes;
    private long nextOffset;

    public RecentRecords(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /** Adds the record at an offset; the earlier records are dropped when the offset does not follow the last one. */
    public void add(long offset, byte[] data) {
        if (offset != nextOffset) {
            records.clear();
            bytes = 0;
        }
        records.addLast(data);
        bytes += data.length;
        nextOffset = offset + 1;
        while (bytes > limitBytes) {
            bytes -= records.removeFirst().length;
        }
    }

    /**
     * Returns consecutive records from an offset on, at least one; the last may exceed {@code maxBytes}. Empty when the
     * record at the offset is not kept.
     */
    public List<byte[]> recordsFrom(long offset, long maxBytes) {
        long first = nextOffset - records.size();
        List<byte[]> found = new ArrayList<>();
        if (offset < first || offset >= nextOffset) {
            return found;
        }
        Iterator<byte[]> kept = records.iterator();
        for (long o = first; o < offset; o++) {
            kept.next();
        }
        long size = 0;
        while (kept.hasNext() && (size < maxBytes || found.isEmpty())) {
            byte[] data = kept.next();
            found.add(data);
            size += data.length;
        }
        return found;
    }
}
