package org.quetzalvane.core.ownership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Times of the latest claim attempts of this node by engine, until a change of the owner of the engine is read back.
 *
 * <p>Invariants: an engine is claimed again only after its claim was read back or a retry interval has passed; a batch
 * has at most {@value #MAX_BATCH_ENGINES} engines, which bounds the size of a claim record, also after the loss of a
 * data centre. Thread-safe; its monitor is a leaf in the lock order.
 */
final class PendingClaims {
    private static final int MAX_BATCH_ENGINES = 64;
    private static final long RETRY_INTERVAL_NANOS = 3_000_000_000L;

    private final Map<String, Long> attemptedNanos = new HashMap<>();

    /** Selects the claims that may be appended now and marks them as pending. */
    synchronized List<OwnershipRecord.EngineClaim> startBatch(List<OwnershipRecord.EngineClaim> claims, long nowNanos) {
        List<OwnershipRecord.EngineClaim> batch = new ArrayList<>();
        for (OwnershipRecord.EngineClaim c : claims) {
            Long attempted = attemptedNanos.get(c.engine());
            boolean mayClaim = attempted == null || nowNanos - attempted > RETRY_INTERVAL_NANOS;
            if (mayClaim && batch.size() < MAX_BATCH_ENGINES) {
                attemptedNanos.put(c.engine(), nowNanos);
                batch.add(c);
            }
        }
        return batch;
    }

    /** Ends the wait for a claim of the engine, after a change of the engine that concerns this node was read back. */
    synchronized void clearPending(String engine) {
        attemptedNanos.remove(engine);
    }
}
