package org.quetzalvane.core.node;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

import org.quetzalvane.core.config.SnapshotCodec;
import org.quetzalvane.core.config.SnapshotCodec.Part;
import org.quetzalvane.core.exc.LogExpiredException;
import org.quetzalvane.core.exc.RecordException;
import org.quetzalvane.core.port.LogBatch;
import org.quetzalvane.core.port.LogPort;

/**
 * Reads the newest complete snapshot of the configuration from the log.
 *
 * <p>Parts of several writers may be interleaved on the stream; they are combined by the offset that they cover, since
 * snapshots of the same offset have the same parts. Thread-safe and stateless.
 */
final class SnapshotLogReader {
    static final String STREAM = "config-snapshots";

    private static final int BATCH_RECORDS = 64;

    private final LogPort log;

    SnapshotLogReader(LogPort log) {
        this.log = log;
    }

    /**
     * Range of the offsets of the stream. Immutable.
     *
     * @param first first offset that is still kept
     * @param end offset after the newest record
     */
    record Extent(long first, long end) {}

    /** Reads the range of the offsets that the stream keeps. */
    CompletableFuture<Extent> readExtent() {
        CompletableFuture<Extent> extent = new CompletableFuture<>();
        log.read(STREAM, 0, 1).whenComplete((batch, failure) -> {
            if (failure == null) {
                extent.complete(new Extent(0, batch.end()));
            } else if (cause(failure) instanceof LogExpiredException) {
                extentFrom(((LogExpiredException) cause(failure)).firstOffset(), extent);
            } else {
                extent.completeExceptionally(failure);
            }
        });
        return extent;
    }

    /** Reads the parts of the newest complete snapshot; empty if there is none. */
    CompletableFuture<Optional<List<Part>>> readNewest() {
        return readExtent().thenCompose(e -> search(e, BATCH_RECORDS));
    }

    static Throwable cause(Throwable failure) {
        return failure.getCause() == null ? failure : failure.getCause();
    }

    private void extentFrom(long first, CompletableFuture<Extent> extent) {
        log.read(STREAM, first, 1).whenComplete((batch, failure) -> {
            if (failure == null) {
                extent.complete(new Extent(first, batch.end()));
            } else {
                extent.completeExceptionally(failure);
            }
        });
    }

    private CompletableFuture<Optional<List<Part>>> search(Extent e, long records) {
        long from = Math.max(e.first(), e.end() - records);
        return readAll(from, e.end(), new ArrayList<>()).thenCompose(parts -> {
            Optional<List<Part>> complete = complete(parts);
            boolean finished = complete.isPresent() || from == e.first();
            return finished ? CompletableFuture.completedFuture(complete) : search(e, records * 2);
        });
    }

    private CompletableFuture<List<Part>> readAll(long from, long end, List<Part> parts) {
        if (from >= end) {
            return CompletableFuture.completedFuture(parts);
        }
        return log.read(STREAM, from, BATCH_RECORDS).thenCompose(batch -> {
            if (batch.records().isEmpty()) {
                return CompletableFuture.completedFuture(parts);
            }
            batch.records().forEach(r -> decodeInto(parts, r));
            long next = batch.records().get(batch.records().size() - 1).offset() + 1;
            return readAll(next, end, parts);
        });
    }

    private static void decodeInto(List<Part> parts, LogBatch.LogRecord r) {
        try {
            parts.add(SnapshotCodec.decode(r.data()));
        } catch (RecordException e) {
            // Skips a record that is not a valid snapshot part.
            return;
        }
    }

    private static Optional<List<Part>> complete(List<Part> parts) {
        TreeMap<Long, TreeMap<Integer, Part>> byOffset = new TreeMap<>();
        parts.forEach(
                p -> byOffset.computeIfAbsent(p.at(), at -> new TreeMap<>()).put(p.part(), p));
        return byOffset.descendingMap().values().stream()
                .filter(SnapshotLogReader::isComplete)
                .findFirst()
                .map(found -> List.copyOf(found.values()));
    }

    private static boolean isComplete(TreeMap<Integer, Part> parts) {
        Map.Entry<Integer, Part> last = parts.lastEntry();
        return last.getValue().last() && parts.firstKey() == 0 && parts.size() == last.getKey() + 1;
    }
}
