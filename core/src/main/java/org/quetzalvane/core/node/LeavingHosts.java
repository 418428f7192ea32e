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
 * Ends new work on hosts that the host list calls leaving, one lifetime of an address answer after it first said so.
 *
 * <p>An engine on such a host starts nothing more and serves out what runs; a node on such a host hands over. Should
 * the host list take it back, the engine is served again; a node stays drained until it is restarted. Thread-safe; its
 * monitor is held for bookkeeping only.
 */
final class LeavingHosts {
    private static final long RETRY_MILLIS = 500;

    private final Membership membership;
    private final DispatcherRegistry dispatchers;
    private final Scheduler scheduler;
    private final Duration answerLifetime;
    private final Set<String> closing = new HashSet<>();

    LeavingHosts(Membership membership, DispatcherRegistry dispatchers, Scheduler scheduler, Duration answerLifetime) {
        this.membership = membership;
        this.dispatchers = dispatchers;
        this.scheduler = scheduler;
        this.answerLifetime = answerLifetime;
    }

    /** Looks at every engine held, after the host list was read. */
    void look() {
        for (EngineDispatcher d : dispatchers.all()) {
            String engine = d.engine().name();
            boolean leaving = membership.isHostLeaving(d.engine().host());
            if (leaving && begin(engine)) {
                scheduler.schedule(answerLifetime, () -> close(engine));
            } else if (!leaving && end(engine)) {
                dispatchers.lost(engine);
            }
        }
    }

    private void close(String engine) {
        String message = "the host of engine " + engine + " is leaving";
        dispatchers
                .find(engine)
                .filter(d -> membership.isHostLeaving(d.engine().host()))
                .ifPresent(d -> d.close(Refusal.retryable(ResultCode.DRAINING, message, RETRY_MILLIS)));
    }

    private synchronized boolean begin(String engine) {
        return closing.add(engine);
    }

    private synchronized boolean end(String engine) {
        return closing.remove(engine);
    }
}
