package org.quetzalvane.core.ownership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Claims under way of this node.
 *
 * <p>Invariants: an engine is claimed again only after its claim was read back or a retry pause passed; a batch is
 * bounded, so that a lost data centre makes few small records. Thread-safe; its monitor is a leaf in the lock order.
 */
final class ClaimBatch {
    private static final int MAX_ENGINES = 64;
    private static final long RETRY_NANOS = 3_000_000_000L;

    private final Map<String, Long> sentNanos = new HashMap<>();

    /** The part of the given claims that may be appended now; it counts as under way from here on. */
    synchronized List<OwnershipRecord.EngineClaim> begin(List<OwnershipRecord.EngineClaim> due, long nowNanos) {
        List<OwnershipRecord.EngineClaim> batch = new ArrayList<>();
        for (OwnershipRecord.EngineClaim c : due) {
            Long sent = sentNanos.get(c.engine());
            boolean free = sent == null || nowNanos - sent > RETRY_NANOS;
            if (free && batch.size() < MAX_ENGINES) {
                sentNanos.put(c.engine(), nowNanos);
                batch.add(c);
            }
        }
        return batch;
    }

    /** A claim of the engine by this node was read back. */
    synchronized void readBack(String engine) {
        sentNanos.remove(engine);
    }
}
