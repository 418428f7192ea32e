package org.quetzalvane.core.load;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;

import org.quetzalvane.core.peer.PeerMessage;
import org.quetzalvane.core.time.Scheduler;

/**
 * Load budget that requests load permits from the region's load governor, one at a time.
 *
 * <p>Invariants: a permit is used only within {@link LoadGovernor#PERMIT_LIFETIME} after the earliest time at which the
 * governor can have granted it, which is the send time of its request plus the time that the reply gives as waited at
 * the governor. Every permit is released: after its load ended, when it expired, or at once if the availability action
 * did not use it. While there is no governor, the fallback budget decides.
 *
 * <p>Thread-safe; its monitor is a leaf in the lock order and is not held while messages are sent.
 */
public final class GovernedBudget implements LoadBudget {
    private static final Duration RETRY_DELAY_AFTER_DENIAL = Duration.ofMillis(50);

    private final String node;
    private final Scheduler scheduler;
    private final GovernorClient governor;
    private final LoadBudget fallback;
    private final Deque<Long> permitExpiresAtNanos = new ArrayDeque<>();
    /** For each load in flight, oldest first, whether it uses a permit; otherwise it uses the fallback budget. */
    private final Deque<Boolean> loadsUnderPermit = new ArrayDeque<>();

    private Runnable onPermitAvailable = () -> {};
    private boolean requestPending;
    private long nextRequestAtNanos;

    /** Access to the load governor. */
    public interface GovernorClient {
        /** Returns whether it is certain that no node acts as load governor now. */
        boolean isAbsent();

        /** Requests a load permit; fails when the governor is not known or not reachable. */
        CompletableFuture<PeerMessage> requestPermit(PeerMessage.LoadPermitRequest request);

        /** Releases a load permit after its load ended, or unused. */
        void releasePermit(PeerMessage.LoadPermitRelease release);
    }

    /** {@code fallback} is used while {@link GovernorClient#isAbsent()}. */
    public GovernedBudget(String node, Scheduler scheduler, GovernorClient governor, LoadBudget fallback) {
        this.node = node;
        this.scheduler = scheduler;
        this.governor = governor;
        this.fallback = fallback;
        this.nextRequestAtNanos = scheduler.nanoTime();
    }

    @Override
    public boolean tryAcquire(double value) {
        int expiredCount;
        boolean acquired;
        boolean shouldRequest;
        long now = scheduler.nanoTime();
        synchronized (this) {
            expiredCount = dropExpired(now);
            acquired = permitExpiresAtNanos.pollFirst() != null;
            if (acquired) {
                loadsUnderPermit.addLast(true);
            }
            shouldRequest = !acquired && !requestPending && nextRequestAtNanos - now <= 0;
            requestPending |= shouldRequest;
        }
        for (int i = 0; i < expiredCount; i++) {
            governor.releasePermit(new PeerMessage.LoadPermitRelease(node));
        }
        if (shouldRequest) {
            requestPermit(value, now);
        }
        return acquired || governor.isAbsent() && acquireFromFallback(value);
    }

    @Override
    public void release() {
        Boolean underPermit;
        synchronized (this) {
            underPermit = loadsUnderPermit.pollFirst();
        }
        if (underPermit == null || underPermit) {
            governor.releasePermit(new PeerMessage.LoadPermitRelease(node));
        } else {
            fallback.release();
        }
    }

    @Override
    public synchronized void onAvailable(Runnable action) {
        onPermitAvailable = action;
    }

    private boolean acquireFromFallback(double value) {
        boolean acquired = fallback.tryAcquire(value);
        if (acquired) {
            synchronized (this) {
                loadsUnderPermit.addLast(false);
            }
        }
        return acquired;
    }

    private void requestPermit(double value, long requestedAtNanos) {
        governor.requestPermit(new PeerMessage.LoadPermitRequest(node, value)).whenComplete((reply, failure) -> {
            long now = scheduler.nanoTime();
            boolean granted =
                    reply instanceof PeerMessage.LoadPermitReply && ((PeerMessage.LoadPermitReply) reply).granted();
            Runnable action;
            synchronized (this) {
                requestPending = false;
                if (granted) {
                    long grantedAtNanos = requestedAtNanos + ((PeerMessage.LoadPermitReply) reply).waitedNanos();
                    permitExpiresAtNanos.addLast(grantedAtNanos + LoadGovernor.PERMIT_LIFETIME.toNanos());
                } else {
                    nextRequestAtNanos = now + RETRY_DELAY_AFTER_DENIAL.toNanos();
                }
                action = granted ? onPermitAvailable : () -> {};
            }
            action.run();
            releaseUnused();
        });
    }

    private void releaseUnused() {
        int unusedCount;
        synchronized (this) {
            unusedCount = permitExpiresAtNanos.size();
            permitExpiresAtNanos.clear();
        }
        for (int i = 0; i < unusedCount; i++) {
            governor.releasePermit(new PeerMessage.LoadPermitRelease(node));
        }
    }

    private int dropExpired(long now) {
        int expiredCount = 0;
        while (!permitExpiresAtNanos.isEmpty() && now - permitExpiresAtNanos.peekFirst() > 0) {
            permitExpiresAtNanos.pollFirst();
            expiredCount++;
        }
        return expiredCount;
    }
}
