package org.quetzalvane.core.team;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.quetzalvane.core.cluster.RendezvousHash;
import org.quetzalvane.core.event.StructuredLog;
import org.quetzalvane.core.quarantine.Clearance;
import org.quetzalvane.core.quarantine.Condemnation;
import org.quetzalvane.core.quarantine.InstanceReport;
import org.quetzalvane.core.quarantine.LocalQuarantine;
import org.quetzalvane.core.quarantine.QuarantineTrials;
import org.quetzalvane.core.time.Scheduler;

/**
 * Shares the evidence of crashing prompt parts between the nodes, so that all judge alike.
 *
 * <p>News goes to all hubs and from each hub to its members; nothing is sent per request, and receiving a message twice
 * changes nothing. Confined to the event loop.
 */
public final class QuarantineExchange implements LocalQuarantine.Sharing {
    /** Time for which breaks are collected before they are reported, ms; an end breaks all connections within 6 ms. */
    static final long REPORT_DELAY_MS = 20;
    /** Longest time that a node waits whether another one shares a clearance first, ms. */
    static final long CLEARANCE_SPREAD_MS = 100;
    /** Interval of the checks for new hubs and for a node that stood still, ms. */
    static final long CHECK_INTERVAL_MS = 500;
    /** Interval at which hubs repeat what is condemned, ms; also the age from which a repeated judgement is settled. */
    static final long REPEAT_INTERVAL_MS = 2_000;
    /** Delay of a check from which the node has stood still, ms. */
    private static final long STALL_MS = 1_500;
    /** Number of hubs asked at once. */
    private static final int HUBS_ASKED = 3;
    /** Largest number of elements of a message that are processed. */
    private static final int MAX_ELEMENTS = 1_000;

    private final Scheduler scheduler;
    private final HubLinks peers;
    private final LocalQuarantine local;
    private Set<String> hubsBefore = Set.of();
    private long checkedNanos;
    private long repeatedNanos;
    private boolean reportScheduled;
    private boolean clearanceScheduled;

    /** Creates the exchange of a node that knows nothing yet. */
    public QuarantineExchange(Scheduler scheduler, StructuredLog log, HubLinks peers) {
        this.scheduler = scheduler;
        this.peers = peers;
        this.local = new LocalQuarantine(scheduler, log, peers.self(), peers::hubsWithSelf, this);
        this.checkedNanos = scheduler.nanoTime();
        this.repeatedNanos = checkedNanos;
    }

    /** Starts the regular checks. */
    public void start() {
        check();
        scheduler.repeat(Duration.ofMillis(CHECK_INTERVAL_MS), this::check);
    }

    /** The quarantine of this node. */
    public LocalQuarantine local() {
        return local;
    }

    @Override
    public void reportsReady() {
        if (!reportScheduled) {
            reportScheduled = true;
            scheduler.schedule(Duration.ofMillis(REPORT_DELAY_MS), this::sendReports);
        }
    }

    @Override
    public void clearancesReady(boolean urgent) {
        if (urgent) {
            sendClearances();
        } else if (!clearanceScheduled) {
            clearanceScheduled = true;
            long spread = Math.floorMod(
                    RendezvousHash.score(peers.self(), Long.toString(scheduler.nanoTime())), CLEARANCE_SPREAD_MS);
            scheduler.schedule(Duration.ofMillis(spread), () -> {
                clearanceScheduled = false;
                sendClearances();
            });
        }
    }

    @Override
    public void trial(long set, QuarantineTrials.Outcome outcome) {
        boolean shared =
                outcome != QuarantineTrials.Outcome.ACQUITTED || peers.isHub().getAsBoolean();
        if (shared) {
            peers.publish(new PeerMessage.QuarantineTrial(peers.self(), set, outcome));
        }
    }

    /** Processes a message of a peer; returns false if it is not one of the quarantine. */
    public boolean receive(PeerMessage m) {
        if (m instanceof PeerMessage.CrashReports r) {
            relay(m, !r.from().equals(peers.self()) && applyReports(r));
        } else if (m instanceof PeerMessage.PartClearances c) {
            relay(m, !c.from().equals(peers.self()) && applyClearances(c));
        } else if (m instanceof PeerMessage.QuarantineTrial t) {
            relay(m, !t.from().equals(peers.self()) && local.applyTrial(t.set(), t.outcome()));
        } else if (m instanceof PeerMessage.CondemnedParts c) {
            applyCondemned(c);
        } else if (m instanceof PeerMessage.CondemnedRequest r) {
            reply(r.from());
        } else {
            return false;
        }
        return true;
    }

    private boolean applyReports(PeerMessage.CrashReports r) {
        boolean news = false;
        for (InstanceReport i : limited(r.instances())) {
            news |= local.applyReport(r.from(), i);
        }
        return news;
    }

    private boolean applyClearances(PeerMessage.PartClearances m) {
        boolean news = false;
        for (Clearance c : limited(m.clearances())) {
            news |= local.applyClearance(c);
        }
        return news;
    }

    /** Takes over what is settled, and tells the sender of sets that were lifted meanwhile. */
    private void applyCondemned(PeerMessage.CondemnedParts m) {
        for (Condemnation c : limited(m.sets())) {
            boolean settled = m.reply() || c.ageMs() >= REPEAT_INTERVAL_MS;
            if (local.wasLifted(c)) {
                long set = LocalQuarantine.setId(c);
                peers.send(
                        m.from(), new PeerMessage.QuarantineTrial(peers.self(), set, QuarantineTrials.Outcome.PASSED));
            } else if (settled) {
                local.adopt(c);
            }
        }
    }

    private void relay(PeerMessage m, boolean news) {
        if (news) {
            peers.relay(m);
        }
    }

    private void sendReports() {
        reportScheduled = false;
        List<InstanceReport> reports = local.takeReports();
        if (!reports.isEmpty()) {
            peers.publish(new PeerMessage.CrashReports(peers.self(), reports));
        }
    }

    private void sendClearances() {
        List<Clearance> clearances = local.takeClearances();
        if (!clearances.isEmpty()) {
            peers.publish(new PeerMessage.PartClearances(peers.self(), clearances));
        }
    }

    /** Asks a peer to which a connection was made, so that a node that starts knows at once what is condemned. */
    public void peerConnected(String peer) {
        peers.send(peer, new PeerMessage.CondemnedRequest(peers.self()));
    }

    private void check() {
        long now = scheduler.nanoTime();
        boolean stalled = now - checkedNanos > STALL_MS * 1_000_000;
        checkedNanos = now;
        Set<String> hubs = new HashSet<>(peers.hubs().get());
        Set<String> asked = new HashSet<>(hubs);
        if (!stalled) {
            asked.removeAll(hubsBefore);
        }
        hubsBefore = hubs;
        RendezvousHash.rank(peers.self(), asked, h -> h).stream()
                .limit(HUBS_ASKED)
                .forEach(h -> peers.send(h, new PeerMessage.CondemnedRequest(peers.self())));
        local.tick();
        if (peers.isHub().getAsBoolean() && now - repeatedNanos >= REPEAT_INTERVAL_MS * 1_000_000) {
            repeatedNanos = now;
            List<Condemnation> sets = local.condemnations();
            if (!sets.isEmpty()) {
                peers.publish(new PeerMessage.CondemnedParts(peers.self(), false, sets));
            }
        }
    }

    private void reply(String to) {
        List<Condemnation> sets = local.condemnations();
        if (!sets.isEmpty()) {
            peers.send(to, new PeerMessage.CondemnedParts(peers.self(), true, sets));
        }
    }

    private static <T> List<T> limited(List<T> elements) {
        return elements.size() <= MAX_ELEMENTS ? elements : elements.subList(0, MAX_ELEMENTS);
    }
}
