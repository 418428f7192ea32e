package org.quetzalvane.entry;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.quetzalvane.core.serve.GracePeriod;
import org.quetzalvane.core.time.Scheduler;
import org.quetzalvane.transport.HttpServer;

/**
 * Stops serving callers within the grace period: accepts what can end in it, then nothing, and ends what still runs
 * before the process is killed.
 *
 * <p>Confined to the event loop, except for the methods that wait.
 */
final class PlannedStop {
    /**
     * Time after the signal to stop for which requests are still accepted, ms. A request sent up to 3 s after the
     * signal may be cut off when the process ends.
     */
    private static final long ACCEPT_MS = 2_500;
    /**
     * Polls after the signal until connections are closed: what arrived on them before may not have been accepted and
     * read yet, which takes a pass of the event loop each.
     */
    private static final int POLLS_BEFORE_DRAIN = 3;
    /** Longest part of the grace period that is reserved for ending the process, ms. */
    private static final long MAX_MARGIN_MS = 700;
    /** The margin is this part of a short grace period, because only its last sixth may cut off what still runs. */
    private static final int MARGIN_DIVISOR = 10;
    /** New requests are accepted in this part of a short grace period without its margin. */
    private static final int ACCEPT_DIVISOR = 2;
    /** The last responses are sent in this part of the margin. */
    private static final int FLUSH_DIVISOR = 2;

    private static final Duration POLL_INTERVAL = Duration.ofMillis(50);

    private final Scheduler scheduler;
    private final HttpServer server;
    private final GracePeriod gracePeriod;
    private final long marginMs;
    private final long serveMs;
    private final long acceptMs;
    private final CountDownLatch notAccepting = new CountDownLatch(1);
    private final CountDownLatch idle = new CountDownLatch(1);

    /** Prepares to stop a server within a grace period, ms. */
    PlannedStop(Scheduler scheduler, HttpServer server, GracePeriod gracePeriod, long gracePeriodMs) {
        this.scheduler = scheduler;
        this.server = server;
        this.gracePeriod = gracePeriod;
        marginMs = Math.min(MAX_MARGIN_MS, gracePeriodMs / MARGIN_DIVISOR);
        serveMs = gracePeriodMs - marginMs;
        acceptMs = Math.min(ACCEPT_MS, serveMs / ACCEPT_DIVISOR);
    }

    /** Begins to stop. */
    void begin() {
        gracePeriod.begin(Duration.ofMillis(serveMs));
        drainAfter(POLLS_BEFORE_DRAIN);
        scheduler.schedule(Duration.ofMillis(acceptMs), this::stopAccepting);
    }

    private void drainAfter(int polls) {
        if (polls == 0) {
            server.drain();
        } else {
            scheduler.schedule(POLL_INTERVAL, () -> drainAfter(polls - 1));
        }
    }

    private void stopAccepting() {
        server.stopAccepting(notAccepting::countDown);
        awaitIdle();
    }

    /** Polls until every response has been sent. */
    private void awaitIdle() {
        if (server.busyConnections() == 0) {
            idle.countDown();
        } else {
            scheduler.schedule(POLL_INTERVAL, this::awaitIdle);
        }
    }

    /** Waits until the server has closed its listening socket. */
    void awaitNotAccepting() throws InterruptedException {
        notAccepting.await();
    }

    /** Waits until every response has been sent, at most until the process has to end. */
    void awaitIdleOrEnd() throws InterruptedException {
        idle.await(serveMs + marginMs / FLUSH_DIVISOR, TimeUnit.MILLISECONDS);
    }
}
