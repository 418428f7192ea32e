package org.quetzalvane.core.quarantine;

import java.util.HashMap;
import java.util.Map;

import it.unimi.dsi.fastutil.longs.Long2LongLinkedOpenHashMap;
import it.unimi.dsi.fastutil.longs.Long2ObjectLinkedOpenHashMap;
import org.quetzalvane.core.time.Scheduler;

/**
 * When responses with a prompt part, or to a request with an identity, last got past their beginning, at this node or
 * another one, and when requests were sent.
 *
 * <p>Holds {@link #MAX_ENTRIES} parts, as many identities and as many requests for {@link #RETENTION_MS}. Confined to
 * the event loop.
 */
final class PassTable {
    /** Largest number of parts and of requests kept: 60 s at 300 requests per second and node. */
    static final int MAX_ENTRIES = 20_000;
    /** Time for which entries are kept, ms: as long as evidence. */
    static final long RETENTION_MS = CrashEvidence.RETENTION_MS;
    /** Largest number of services kept. */
    private static final int MAX_SERVICES = 1_000;

    private static final Pass NEVER = new Pass(0, 0, 0, 0);

    private final Scheduler scheduler;
    private final Long2ObjectLinkedOpenHashMap<Pass> partPasses = new Long2ObjectLinkedOpenHashMap<>();
    /** Apart from those of parts, which are fewer and would be evicted. */
    private final Long2ObjectLinkedOpenHashMap<Pass> identityPasses = new Long2ObjectLinkedOpenHashMap<>();

    private final Long2LongLinkedOpenHashMap sent = new Long2LongLinkedOpenHashMap();
    private final Map<String, Long> servedNanos = new HashMap<>();

    PassTable(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    /**
     * The last passes of a part. Times are those of the newest pass and of the newest request that passed; zero stands
     * for none.
     *
     * @param nanos time up to which passes disprove evidence
     * @param sentNanos time at which a request that passed was sent
     * @param sharedNanos like {@code nanos}, as other nodes know it
     * @param sharedSentNanos like {@code sentNanos}, as other nodes know it
     */
    record Pass(long nanos, long sentNanos, long sharedNanos, long sharedSentNanos) {
        /** Whether other nodes do not know that the part passed after an end, or was sent after it and passed. */
        boolean isNewsAfter(long endNanos) {
            return after(nanos, endNanos) && !after(sharedNanos, endNanos)
                    || after(sentNanos, endNanos) && !after(sharedSentNanos, endNanos);
        }

        private Pass with(long passed, long requestSent, boolean shared) {
            return new Pass(
                    newer(nanos, passed),
                    newer(sentNanos, requestSent),
                    shared ? newer(sharedNanos, passed) : sharedNanos,
                    shared ? newer(sharedSentNanos, requestSent) : sharedSentNanos);
        }

        private static boolean after(long t, long endNanos) {
            return t != 0 && t - endNanos >= 0;
        }

        private static long newer(long a, long b) {
            return a == 0 || b != 0 && b - a > 0 ? b : a;
        }
    }

    /** Records that a request is sent now. */
    void recordSent(long request) {
        long now = scheduler.nanoTime();
        sent.putAndMoveToLast(request, now);
        while (sent.size() > MAX_ENTRIES || now - sent.get(sent.firstLongKey()) > RETENTION_MS * 1_000_000) {
            sent.removeFirstLong();
        }
    }

    boolean knowsSent(long request) {
        return sent.containsKey(request);
    }

    /** Time at which a request was last sent; only if it is known. */
    long sentNanos(long request) {
        return sent.get(request);
    }

    /** Records that a response of a service got past its beginning. */
    void recordServed(String service, long nanos) {
        Long old = servedNanos.get(service);
        if (old == null ? servedNanos.size() < MAX_SERVICES : nanos - old > 0) {
            servedNanos.put(service, nanos);
        }
    }

    boolean servedSince(String service, long nanos) {
        Long at = servedNanos.get(service);
        return at != null && at - nanos > 0;
    }

    /** Whether a response of a service got past its beginning within the time for which passes are kept. */
    boolean servedLately(String service) {
        return servedSince(service, scheduler.nanoTime() - RETENTION_MS * 1_000_000);
    }

    /**
     * Records a pass of a part.
     *
     * @param shared whether other nodes know of it
     */
    void recordPass(long part, long nanos, long sentNanos, boolean shared) {
        Long2ObjectLinkedOpenHashMap<Pass> passes = passes(part);
        Pass old = passes.get(part);
        passes.putAndMoveToLast(part, (old == null ? NEVER : old).with(nanos, sentNanos, shared));
        long now = scheduler.nanoTime();
        while (!passes.isEmpty()
                && (passes.size() > MAX_ENTRIES
                        || now - passes.get(passes.firstLongKey()).nanos > RETENTION_MS * 1_000_000)) {
            passes.removeFirst();
        }
    }

    /** The last pass of a part, or null. */
    Pass find(long part) {
        return passes(part).get(part);
    }

    boolean cleared(long part, long nanos) {
        Pass p = find(part);
        return p != null && Pass.after(p.nanos, nanos);
    }

    int size() {
        return Math.max(Math.max(partPasses.size(), identityPasses.size()), sent.size());
    }

    private Long2ObjectLinkedOpenHashMap<Pass> passes(long part) {
        return PartSet.isIdentity(part) ? identityPasses : partPasses;
    }
}
