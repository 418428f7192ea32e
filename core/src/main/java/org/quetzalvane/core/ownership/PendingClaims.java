package org.quetzalvane.core.ownership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The claims of this node that were appended and not read back yet.
 *
 * <p>Invariants: an engine is claimed again only after its claim was read back or a retry interval has passed; the size
 * of a batch is bounded, so that the loss of a data centre leads to a few small records. Thread-safe; its monitor is a
 * leaf in the lock order.
 */
final class PendingClaims {
    private static final int MAX_BATCH_ENGINES = 64;
    private static final long RETRY_INTERVAL_NANOS = 3_000_000_000L;

    private final Map<String, Long> appendedNanos = new HashMap<>();

    /** Selects the claims that may be appended now and marks them as pending. */
    synchronized List<OwnershipRecord.EngineClaim> startBatch(List<OwnershipRecord.EngineClaim> due, long nowNanos) {
        List<OwnershipRecord.EngineClaim> batch = new ArrayList<>();
        for (OwnershipRecord.EngineClaim c : due) {
            Long appended = appendedNanos.get(c.engine());
            boolean free = appended == null || nowNanos - appended > RETRY_INTERVAL_NANOS;
            if (free && batch.size() < MAX_BATCH_ENGINES) {
                appendedNanos.put(c.engine(), nowNanos);
                batch.add(c);
            }
        }
        return batch;
    }

    /** Marks the claim of an engine as no longer pending, after a claim of it by this node was read back. */
    synchronized void readBack(String engine) {
        appendedNanos.remove(engine);
    }
}
