package org.quetzalvane.core.residency;

import java.util.HashSet;
import java.util.Set;

import org.quetzalvane.core.time.Scheduler;

/**
 * An accepted unload that waits for the requests that run on its adapter, which keeps its slot until then.
 *
 * <p>The owner does not know all these requests, and the platform's pages do not say whether a report lists the adapter
 * meanwhile. The unload has ended when no request goes on that ran on the engine when the unload began to wait.
 * Confined to the event loop.
 */
final class WaitingUnload {
    /** Largest age of the values in a report, ms; the platform's pages say some hundred. */
    private static final long MAX_REPORT_AGE_MS = 500;
    /** Interval at which the report is read while an unload waits, ms; streams take several seconds. */
    private static final long CHECK_INTERVAL_MS = 2_000;

    private final Scheduler scheduler;
    private final long acceptedNanos;
    private long checkedNanos;
    /** Ids of the requests that may have run when the unload was accepted and go on, or null before they are known. */
    private Set<String> running;

    /** Creates an unload that the engine has just accepted. */
    WaitingUnload(Scheduler scheduler) {
        this.scheduler = scheduler;
        acceptedNanos = scheduler.nanoTime();
        checkedNanos = acceptedNanos;
    }

    /** Whether a report is to be read. */
    boolean isCheckDue() {
        return msSince(checkedNanos) > CHECK_INTERVAL_MS;
    }

    /**
     * Processes a report of the engine; returns whether the unload has ended.
     *
     * @param listed whether the report lists the adapter as resident
     */
    boolean endsBy(EngineOrders.Report r, boolean listed) {
        checkedNanos = scheduler.nanoTime();
        if (msSince(acceptedNanos) >= AdapterUsage.LONGEST_REQUEST_MS) {
            return true;
        }
        if (r.running() == null || msSince(acceptedNanos) < MAX_REPORT_AGE_MS) {
            return false;
        }
        if (running == null) {
            running = new HashSet<>(r.running());
        } else {
            running.retainAll(r.running());
        }
        return running.isEmpty() && !listed;
    }

    private long msSince(long nanos) {
        return (scheduler.nanoTime() - nanos) / 1_000_000;
    }
}
