package org.quetzalvane.core.load;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;

import org.quetzalvane.core.peer.PeerMessage;
import org.quetzalvane.core.time.Scheduler;

/**
 * Load permits asked from the region's governor one at a time.
 *
 * <p>Invariants: a permit is used only within its lifetime after its grant, as bounded by the round trip less the
 * governor's own time; every permit is either used and its end reported, or given back. While there is no governor,
 * permits come from the fall-back budget.
 *
 * <p>Thread-safe; its monitor is a leaf and is not held while messages are sent.
 */
public final class GovernedBudget implements LoadBudget {
    private static final Duration PAUSE_AFTER_NONE = Duration.ofMillis(50);

    private final String node;
    private final Scheduler scheduler;
    private final Governor governor;
    private final LoadBudget fallBack;
    private final Deque<Long> usableUntil = new ArrayDeque<>();
    private final Deque<Boolean> startedGoverned = new ArrayDeque<>();
    private Runnable available = () -> {};
    private boolean asking;
    private long pauseUntilNanos;

    /** The way to the governor. */
    public interface Governor {
        /** Whether certainly nobody acts as governor now. */
        boolean absent();

        /** Asks for a permit; fails when the governor is not known or not reachable. */
        CompletableFuture<PeerMessage> ask(PeerMessage.LoadPermitRequest wanted);

        /** Reports the end of a load or an unused permit. */
        void ended(PeerMessage.LoadPermitRelease ended);
    }

    /** Builds the budget of a node; {@code fallBack} serves while there is certainly no governor. */
    public GovernedBudget(String node, Scheduler scheduler, Governor governor, LoadBudget fallBack) {
        this.node = node;
        this.scheduler = scheduler;
        this.governor = governor;
        this.fallBack = fallBack;
        this.pauseUntilNanos = scheduler.nanoTime();
    }

    @Override
    public boolean tryAcquire(double value) {
        int expired;
        boolean acquired;
        boolean ask;
        long now = scheduler.nanoTime();
        synchronized (this) {
            expired = dropExpired(now);
            acquired = usableUntil.pollFirst() != null;
            if (acquired) {
                startedGoverned.addLast(true);
            }
            ask = !acquired && !asking && pauseUntilNanos - now <= 0;
            asking |= ask;
        }
        for (int i = 0; i < expired; i++) {
            governor.ended(new PeerMessage.LoadPermitRelease(node));
        }
        if (ask) {
            ask(value, now);
        }
        return acquired || governor.absent() && acquireFallBack(value);
    }

    @Override
    public void release() {
        Boolean governed;
        synchronized (this) {
            governed = startedGoverned.pollFirst();
        }
        if (governed == null || governed) {
            governor.ended(new PeerMessage.LoadPermitRelease(node));
        } else {
            fallBack.release();
        }
    }

    @Override
    public synchronized void onAvailable(Runnable action) {
        available = action;
    }

    private boolean acquireFallBack(double value) {
        boolean acquired = fallBack.tryAcquire(value);
        if (acquired) {
            synchronized (this) {
                startedGoverned.addLast(false);
            }
        }
        return acquired;
    }

    private void ask(double value, long askedAt) {
        governor.ask(new PeerMessage.LoadPermitRequest(node, value)).whenComplete((answer, failure) -> {
            long now = scheduler.nanoTime();
            boolean granted =
                    answer instanceof PeerMessage.LoadPermitReply && ((PeerMessage.LoadPermitReply) answer).granted();
            Runnable then;
            synchronized (this) {
                asking = false;
                if (granted) {
                    long grantedAt = askedAt + ((PeerMessage.LoadPermitReply) answer).waitedNanos();
                    usableUntil.addLast(grantedAt + LoadGovernor.PERMIT_LIFETIME.toNanos());
                } else {
                    pauseUntilNanos = now + PAUSE_AFTER_NONE.toNanos();
                }
                then = granted ? available : () -> {};
            }
            then.run();
            giveBackUnused();
        });
    }

    private void giveBackUnused() {
        int unused;
        synchronized (this) {
            unused = usableUntil.size();
            usableUntil.clear();
        }
        for (int i = 0; i < unused; i++) {
            governor.ended(new PeerMessage.LoadPermitRelease(node));
        }
    }

    private int dropExpired(long now) {
        int expired = 0;
        while (!usableUntil.isEmpty() && now - usableUntil.peekFirst() > 0) {
            usableUntil.pollFirst();
            expired++;
        }
        return expired;
    }
}
