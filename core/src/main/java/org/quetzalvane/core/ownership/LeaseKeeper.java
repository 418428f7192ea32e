package org.quetzalvane.core.ownership;

import java.util.Iterator;
import java.util.Map;
import java.util.TreeMap;

/**
 * This node's own lease: counted from before each renewal was appended, and only once the renewal was read back.
 *
 * <p>Invariant: the lease never outlasts the start of a renewal that was read back as valid by more than its length.
 * Thread-safe; its monitor is a leaf in the lock order.
 */
final class LeaseKeeper {
    private static final int MAX_UNDER_WAY = 16;

    private final long leaseNanos;
    private final TreeMap<Long, Long> startBySequence = new TreeMap<>();
    private long sequence;
    private long untilNanos;
    private boolean held;

    LeaseKeeper(long leaseNanos) {
        this.leaseNanos = leaseNanos;
    }

    /** Begins a renewal and returns its sequence number. */
    synchronized long begin(long nowNanos) {
        sequence++;
        startBySequence.put(sequence, nowNanos);
        if (startBySequence.size() > MAX_UNDER_WAY) {
            startBySequence.pollFirstEntry();
        }
        return sequence;
    }

    /**
     * A renewal was read back as valid; one that was begun too long ago to be known counts for nothing.
     *
     * @return whether it is the first of this process
     */
    synchronized boolean readBack(long renewal) {
        Long start = startBySequence.get(renewal);
        if (start == null) {
            return false;
        }
        dropUpTo(renewal);
        long until = start + leaseNanos;
        untilNanos = held && untilNanos - until > 0 ? untilNanos : until;
        boolean first = !held;
        held = true;
        return first;
    }

    synchronized boolean valid(long nowNanos) {
        return held && untilNanos - nowNanos > 0;
    }

    private void dropUpTo(long renewal) {
        Iterator<Map.Entry<Long, Long>> i = startBySequence.entrySet().iterator();
        while (i.hasNext() && i.next().getKey() <= renewal) {
            i.remove();
        }
    }
}
