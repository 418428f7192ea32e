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
 * Gives out the region's load permits while this node holds the role of the governor.
 *
 * <p>Invariants: permits are spaced by the inverse of the store's rate and the longest delay of their use, so that
 * loads start no faster than the rate in any window; permits out and loads in flight together
 * never exceed the store's limit; after the role was gained nothing is given out until every permit of an earlier
 * governor has expired and its loads have ended. The most valuable wish goes first.
 *
 * <p>Thread-safe; its monitor is a leaf and is not held while answers are sent.
 */
public final class LoadGovernor {
    /** Longest time from the grant of a permit to its use, the way to the node included. */
    static final Duration PERMIT_LIFETIME = Duration.ofMillis(5);

    /** Longest time from the use of a permit to the start of its load, an eviction included. */
    static final Duration START_DELAY = Duration.ofMillis(5);

    private static final Duration WISH_LIFETIME = Duration.ofMillis(1000);
    private static final Duration MAX_LOAD = Duration.ofSeconds(60);
    private static final Duration START_PAUSE = Duration.ofSeconds(2);
    private static final long JITTER_NANOS = PERMIT_LIFETIME.plus(START_DELAY).toNanos();
    private static final double NANOS_PER_SECOND = 1e9;

    private final Scheduler scheduler;
    private final Supplier<LoadLimits> limits;
    private final Role role;
    private final List<Wish> wishes = new ArrayList<>();
    private final Map<String, Deque<Long>> outSince = new HashMap<>();
    private long fencingToken = -1;
    private long nextPermitNanos;
    private Scheduler.Timer wake = () -> {};

    /** Tells whether this node may act as governor now, and under which fencing number. */
    public interface Role {
        boolean mayAct();

        long fencingToken();
    }

    private record Wish(PeerMessage.LoadPermitRequest wanted, PeerPort.Reply reply, long sinceNanos) {

        long untilNanos() {
            return sinceNanos + WISH_LIFETIME.toNanos();
        }
    }

    private record Answer(Wish wish, boolean granted) {}

    /** Builds a governor that answers only while it holds the role. */
    public LoadGovernor(Scheduler scheduler, Supplier<LoadLimits> limits, Role role) {
        this.scheduler = scheduler;
        this.limits = limits;
        this.role = role;
    }

    /** Takes a wish for a permit; it is answered when one is free, or with none after a second. */
    public void wanted(PeerMessage.LoadPermitRequest wanted, PeerPort.Reply reply) {
        synchronized (this) {
            wishes.add(new Wish(wanted, reply, scheduler.nanoTime()));
        }
        serve();
    }

    /** A load ended, or its permit was given back. */
    public void ended(PeerMessage.LoadPermitRelease ended) {
        synchronized (this) {
            Deque<Long> out = outSince.get(ended.node());
            if (out != null) {
                out.pollFirst();
            }
        }
        serve();
    }

    private void serve() {
        List<Answer> answers = new ArrayList<>();
        long now = scheduler.nanoTime();
        synchronized (this) {
            refuseExpired(now, answers);
            if (role.mayAct()) {
                noteRole(now);
                grant(now, answers);
            }
            wakeLater(now);
        }
        answers.forEach(a -> a.wish.reply.end(new PeerMessage.LoadPermitReply(a.granted, now - a.wish.sinceNanos)));
    }

    private void refuseExpired(long now, List<Answer> answers) {
        boolean powerless = !role.mayAct();
        wishes.removeIf(w -> {
            boolean over = powerless || w.untilNanos() - now <= 0;
            if (over) {
                answers.add(new Answer(w, false));
            }
            return over;
        });
    }

    private void noteRole(long now) {
        if (role.fencingToken() != fencingToken) {
            fencingToken = role.fencingToken();
            outSince.clear();
            nextPermitNanos = now + START_PAUSE.toNanos();
        }
    }

    private void grant(long now, List<Answer> answers) {
        LoadLimits l = limits.get();
        wishes.sort(Comparator.comparingDouble((Wish w) -> -w.wanted.value()));
        while (!wishes.isEmpty() && nextPermitNanos - now <= 0 && inFlight(now) < l.maxInFlight()) {
            Wish w = wishes.remove(0);
            outSince.computeIfAbsent(w.wanted.node(), n -> new ArrayDeque<>()).addLast(now);
            nextPermitNanos =
                    Math.max(nextPermitNanos, now) + (long) (NANOS_PER_SECOND / l.loadsPerSecond()) + JITTER_NANOS;
            answers.add(new Answer(w, true));
        }
    }

    private int inFlight(long now) {
        int sum = 0;
        for (Deque<Long> out : outSince.values()) {
            while (!out.isEmpty() && now - out.peekFirst() > MAX_LOAD.toNanos()) {
                out.pollFirst();
            }
            sum += out.size();
        }
        return sum;
    }

    private void wakeLater(long now) {
        wake.cancel();
        if (wishes.isEmpty()) {
            return;
        }
        long next = wishes.stream().mapToLong(w -> w.untilNanos() - now).min().orElse(0);
        long permit = nextPermitNanos - now;
        long wait = permit > 0 ? Math.min(next, permit) : next;
        wake = scheduler.schedule(Duration.ofNanos(Math.max(1, wait)), this::serve);
    }
}
