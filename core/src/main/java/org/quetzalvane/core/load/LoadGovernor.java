package org.quetzalvane.core.load;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

import org.quetzalvane.core.model.LoadLimits;
import org.quetzalvane.core.peer.PeerMessage;
import org.quetzalvane.core.peer.PeerPort;
import org.quetzalvane.core.time.Scheduler;

/**
 * Grants the region's load permits while this node holds the role of the load governor.
 *
 * <p>Invariants: permits are spaced by the inverse of the weight store's rate plus the longest delay of their use, so
 * that loads start no faster than the rate in any time window; permits not yet used and loads in flight together never
 * exceed the store's limit; after the role was gained no permit is granted until every permit of an earlier governor
 * has expired and its loads have ended. The request of the greatest value is granted first.
 *
 * <p>Thread-safe; its monitor is a leaf in the lock order and is not held while replies are sent.
 */
public final class LoadGovernor {
    /** Longest time from the grant of a permit to its use, including the transmission to the node. */
    static final Duration PERMIT_LIFETIME = Duration.ofMillis(5);

    /** Longest time from the use of a permit to the start of its load, including an eviction. */
    static final Duration MAX_START_DELAY = Duration.ofMillis(5);

    private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(1000);
    private static final Duration MAX_LOAD_DURATION = Duration.ofSeconds(60);
    private static final Duration TAKEOVER_DELAY = Duration.ofSeconds(2);
    private static final long MAX_START_JITTER_NANOS =
            PERMIT_LIFETIME.plus(MAX_START_DELAY).toNanos();
    private static final double NANOS_PER_SECOND = 1e9;

    private final Scheduler scheduler;
    private final Supplier<LoadLimits> limits;
    private final Role role;
    private final List<PermitRequest> requests = new ArrayList<>();
    private final Map<String, Deque<Long>> grantedAtNanosByNode = new HashMap<>();
    private long fencingToken = -1;
    private long nextPermitAtNanos;
    private Scheduler.Timer processingTimer = () -> {};

    /** Whether this node holds the role of the load governor now, and with which fencing token. */
    public interface Role {
        boolean isActive();

        long fencingToken();
    }

    private record PermitRequest(PeerMessage.LoadPermitRequest message, PeerPort.Reply reply, long receivedAtNanos) {

        long expiresAtNanos() {
            return receivedAtNanos + REQUEST_TIMEOUT.toNanos();
        }
    }

    private record Decision(PermitRequest request, boolean granted) {}

    /** Creates a governor that grants permits only while the role is active. */
    public LoadGovernor(Scheduler scheduler, Supplier<LoadLimits> limits, Role role) {
        this.scheduler = scheduler;
        this.limits = limits;
        this.role = role;
    }

    /** Accepts a request for a permit; it is granted when a permit is free and denied after the request timeout. */
    public void requestPermit(PeerMessage.LoadPermitRequest message, PeerPort.Reply reply) {
        synchronized (this) {
            requests.add(new PermitRequest(message, reply, scheduler.nanoTime()));
        }
        processRequests();
    }

    /** Releases a permit whose load has ended or that was not used. */
    public void releasePermit(PeerMessage.LoadPermitRelease message) {
        synchronized (this) {
            Deque<Long> grantedAtNanos = grantedAtNanosByNode.get(message.node());
            if (grantedAtNanos != null) {
                grantedAtNanos.pollFirst();
            }
        }
        processRequests();
    }

    private void processRequests() {
        List<Decision> decisions = new ArrayList<>();
        long now = scheduler.nanoTime();
        synchronized (this) {
            denyExpired(now, decisions);
            if (role.isActive()) {
                resetOnTakeover(now);
                grant(now, decisions);
            }
            scheduleProcessing(now);
        }
        decisions.forEach(decision -> decision.request.reply.end(
                new PeerMessage.LoadPermitReply(decision.granted, now - decision.request.receivedAtNanos)));
    }

    private void denyExpired(long now, List<Decision> decisions) {
        boolean inactive = !role.isActive();
        requests.removeIf(request -> {
            boolean denied = inactive || request.expiresAtNanos() - now <= 0;
            if (denied) {
                decisions.add(new Decision(request, false));
            }
            return denied;
        });
    }

    private void resetOnTakeover(long now) {
        if (role.fencingToken() != fencingToken) {
            fencingToken = role.fencingToken();
            grantedAtNanosByNode.clear();
            nextPermitAtNanos = now + TAKEOVER_DELAY.toNanos();
        }
    }

    private void grant(long now, List<Decision> decisions) {
        LoadLimits loadLimits = limits.get();
        requests.sort(Comparator.comparingDouble((PermitRequest request) -> -request.message.priority()));
        while (!requests.isEmpty() && nextPermitAtNanos - now <= 0 && inFlight(now) < loadLimits.maxInFlight()) {
            PermitRequest request = requests.remove(0);
            grantedAtNanosByNode
                    .computeIfAbsent(request.message.node(), n -> new ArrayDeque<>())
                    .addLast(now);
            nextPermitAtNanos = Math.max(nextPermitAtNanos, now)
                    + (long) (NANOS_PER_SECOND / loadLimits.loadsPerSecond())
                    + MAX_START_JITTER_NANOS;
            decisions.add(new Decision(request, true));
        }
    }

    private int inFlight(long now) {
        int sum = 0;
        for (Deque<Long> grantedAtNanos : grantedAtNanosByNode.values()) {
            while (!grantedAtNanos.isEmpty() && now - grantedAtNanos.peekFirst() > MAX_LOAD_DURATION.toNanos()) {
                grantedAtNanos.pollFirst();
            }
            sum += grantedAtNanos.size();
        }
        return sum;
    }

    private void scheduleProcessing(long now) {
        processingTimer.cancel();
        if (requests.isEmpty()) {
            return;
        }
        long untilExpiryNanos = requests.stream()
                .mapToLong(request -> request.expiresAtNanos() - now)
                .min()
                .orElse(0);
        long untilPermitNanos = nextPermitAtNanos - now;
        long delayNanos = untilPermitNanos > 0 ? Math.min(untilExpiryNanos, untilPermitNanos) : untilExpiryNanos;
        processingTimer = scheduler.schedule(Duration.ofNanos(Math.max(1, delayNanos)), this::processRequests);
    }
}
