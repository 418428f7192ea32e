package org.quetzalvane.core.node;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;

import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.cluster.Membership;
import org.quetzalvane.core.load.DispatcherRegistry;
import org.quetzalvane.core.load.EngineDispatcher;
import org.quetzalvane.core.request.Refusal;
import org.quetzalvane.core.time.Scheduler;

/**
 * Drains engines on hosts that the host list reports as leaving, one TTL of address responses after the first report.
 *
 * <p>Such an engine gets no new requests and finishes the running ones. If the host list no longer reports the host as
 * leaving, the engine gets requests again; a node that drained because its own host is leaving stays drained until it
 * is restarted. Thread-safe; its monitor is held for bookkeeping only.
 */
final class LeavingHostDrainer {
    private static final long RETRY_AFTER_MILLIS = 500;

    private final Membership membership;
    private final DispatcherRegistry dispatchers;
    private final Scheduler scheduler;
    private final Duration addressTtl;
    private final Set<String> closing = new HashSet<>();

    LeavingHostDrainer(
            Membership membership, DispatcherRegistry dispatchers, Scheduler scheduler, Duration addressTtl) {
        this.membership = membership;
        this.dispatchers = dispatchers;
        this.scheduler = scheduler;
        this.addressTtl = addressTtl;
    }

    /** Checks every engine that this node owns, after the host list was read. */
    void checkEngines() {
        for (EngineDispatcher dispatcher : dispatchers.all()) {
            String engine = dispatcher.engine().name();
            boolean leaving = membership.isHostLeaving(dispatcher.engine().host());
            if (leaving && startClosing(engine)) {
                scheduler.schedule(addressTtl, () -> close(engine));
            } else if (!leaving && stopClosing(engine)) {
                // Removes the closed dispatcher; the next ownership check creates a new one.
                dispatchers.lost(engine);
            }
        }
    }

    private void close(String engine) {
        String message = "the host of engine " + engine + " is leaving";
        dispatchers
                .find(engine)
                .filter(d -> membership.isHostLeaving(d.engine().host()))
                .ifPresent(d -> d.close(Refusal.retryable(ResultCode.DRAINING, message, RETRY_AFTER_MILLIS)));
    }

    private synchronized boolean startClosing(String engine) {
        return closing.add(engine);
    }

    private synchronized boolean stopClosing(String engine) {
        return closing.remove(engine);
    }
}
