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
 * Finds the newest complete snapshot of the configuration on the log.
 *
 * <p>Parts of several writers may be mixed on the stream; they are put together by the offset they cover, since equal
 * offsets give equal parts. Thread-safe; holds no state.
 */
final class SnapshotStore {
    static final String STREAM = "config-snapshots";

    private static final int BATCH_RECORDS = 64;

    private final LogPort log;

    SnapshotStore(LogPort log) {
        this.log = log;
    }

    /**
     * The extent of the stream. Immutable.
     *
     * @param first first offset still kept
     * @param end offset after the newest record
     */
    record Extent(long first, long end) {}

    /** Asks for the extent of the stream. */
    CompletableFuture<Extent> extent() {
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

    /** The parts of the newest complete snapshot; empty when there is none. */
    CompletableFuture<Optional<List<Part>>> newest() {
        return extent().thenCompose(e -> search(e, BATCH_RECORDS));
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
            boolean over = complete.isPresent() || from == e.first();
            return over ? CompletableFuture.completedFuture(complete) : search(e, records * 2);
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
            batch.records().forEach(r -> add(parts, r));
            long next = batch.records().get(batch.records().size() - 1).offset() + 1;
            return readAll(next, end, parts);
        });
    }

    private static void add(List<Part> parts, LogBatch.LogRecord r) {
        try {
            parts.add(SnapshotCodec.decode(r.data()));
        } catch (RecordException e) {
            // A record that is no part cannot complete a snapshot.
            return;
        }
    }

    private static Optional<List<Part>> complete(List<Part> parts) {
        TreeMap<Long, TreeMap<Integer, Part>> byOffset = new TreeMap<>();
        parts.forEach(
                p -> byOffset.computeIfAbsent(p.at(), at -> new TreeMap<>()).put(p.part(), p));
        return byOffset.descendingMap().values().stream()
                .filter(SnapshotStore::isComplete)
                .findFirst()
                .map(found -> List.copyOf(found.values()));
    }

    private static boolean isComplete(TreeMap<Integer, Part> parts) {
        Map.Entry<Integer, Part> last = parts.lastEntry();
        return last.getValue().last() && parts.firstKey() == 0 && parts.size() == last.getKey() + 1;
    }
}
