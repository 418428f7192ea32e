package org.quetzalvane.core.cluster;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import org.quetzalvane.core.event.EventCode;
import org.quetzalvane.core.event.EventLog;
import org.quetzalvane.core.peer.PeerMessage;
import org.quetzalvane.core.port.HostListPort.HostEntry;

/**
 * The entry nodes that may take engines, from the host list and the nodes' own signs of life.
 *
 * <p>Invariants: a message of an older incarnation never replaces a newer one; a node is a candidate only while it
 * was heard of recently and neither it nor the host list says that it is leaving. A host missing from the list is not
 * taken as gone while its node is still heard of.
 *
 * <p>Thread-safe; its monitor is a leaf in the lock order.
 */
public final class Membership {
    /** Added to an age that is passed on, for rounding and the time on the way. */
    private static final long TRANSIT_MILLIS = 10;

    private final Map<String, Member> members = new HashMap<>();
    private final Set<String> leavingHosts = new HashSet<>();
    private final EventLog events;

    public Membership(EventLog events) {
        this.events = events;
    }

    /**
     * Notes a renewal of a node on the log, valid until the given monotonic instant in nanoseconds.
     *
     * @return false when it is of an older incarnation and counts for nothing
     */
    public boolean recordRenewal(NodeInfo info, boolean leaving, long validUntilNanos) {
        return note(info, leaving, validUntilNanos, null);
    }

    /** Notes a heartbeat of a node; otherwise as {@link #recordRenewal}. */
    public boolean recordHeartbeat(NodeInfo info, boolean leaving, long validUntilNanos) {
        return note(info, leaving, null, validUntilNanos);
    }

    /** Notes what another node heard of a node; counts only for the incarnation known here. */
    public void recordIndirectHeartbeat(String node, long incarnation, boolean leaving, long validUntilNanos) {
        find(node).filter(i -> i.incarnation() == incarnation).ifPresent(i -> note(i, leaving, null, validUntilNanos));
    }

    /** Takes in the host list. */
    public synchronized void updateHostList(Collection<HostEntry> hosts) {
        leavingHosts.clear();
        hosts.stream().filter(HostEntry::leaving).map(HostEntry::host).forEach(leavingHosts::add);
    }

    /** Whether the host list says that a host is leaving. */
    public synchronized boolean isHostLeaving(String host) {
        return leavingHosts.contains(host);
    }

    /** Where a node is reached, if it was ever heard of. */
    public synchronized Optional<NodeInfo> find(String node) {
        return Optional.ofNullable(members.get(node)).map(m -> m.info);
    }

    /** Nodes whose renewal on the log is valid at the given instant, that are not leaving, and fit a condition. */
    public synchronized List<NodeInfo> candidates(long nowNanos, Predicate<NodeInfo> condition) {
        return select(m -> valid(m.logUntil, nowNanos), condition);
    }

    /** As {@link #candidates}, with the nodes that only heartbeats show to be live. */
    public synchronized List<NodeInfo> live(long nowNanos, Predicate<NodeInfo> condition) {
        return select(m -> valid(m.logUntil, nowNanos) || valid(m.beatUntil, nowNanos), condition);
    }

    /** Nodes ever heard of and not forgotten that fit a condition, live or not, ordered by name. */
    public synchronized List<NodeInfo> known(Predicate<NodeInfo> condition) {
        return members.values().stream()
                .map(Member::info)
                .filter(condition)
                .sorted(Comparator.comparing(NodeInfo::node))
                .collect(Collectors.toList());
    }

    /** How long ago nodes that fit a condition gave a heartbeat, reckoned from a common validity. */
    public synchronized List<PeerMessage.MemberObservation> signs(
            long nowNanos, Duration validity, Predicate<NodeInfo> condition) {
        return members.values().stream()
                .filter(m -> valid(m.beatUntil, nowNanos) && condition.test(m.info))
                .map(m -> m.sign(nowNanos, validity))
                .sorted(Comparator.comparing(PeerMessage.MemberObservation::node))
                .collect(Collectors.toCollection(ArrayList::new));
    }

    /** Forgets the nodes that neither the log nor heartbeats have shown for the given time. */
    public void forget(long nowNanos, Duration silence) {
        List<String> lost;
        synchronized (this) {
            long since = nowNanos - silence.toNanos();
            lost = members.values().stream()
                    .filter(m -> !valid(m.logUntil, since) && !valid(m.beatUntil, since))
                    .map(m -> m.info.node())
                    .toList();
            lost.forEach(members::remove);
        }
        lost.forEach(n -> events.record(EventCode.MEMBER_LOST, n, ""));
    }

    private boolean note(NodeInfo info, boolean leaving, Long logUntil, Long beatUntil) {
        Member before;
        synchronized (this) {
            before = members.get(info.node());
            if (before != null && before.info.incarnation() > info.incarnation()) {
                return false;
            }
            boolean same = before != null && before.info.incarnation() == info.incarnation();
            boolean left = leaving || same && before.leaving;
            Long log = before == null ? logUntil : later(before.logUntil, logUntil);
            Long beat = before == null ? beatUntil : later(before.beatUntil, beatUntil);
            members.put(info.node(), new Member(info, left, log, beat));
        }
        if (before == null || before.info.incarnation() < info.incarnation()) {
            events.record(EventCode.MEMBER_JOINED, info.node(), "incarnation " + info.incarnation());
        }
        if (leaving && (before == null || !before.leaving)) {
            events.record(EventCode.MEMBER_LEAVING, info.node(), "");
        }
        return true;
    }

    private List<NodeInfo> select(Predicate<Member> alive, Predicate<NodeInfo> condition) {
        return members.values().stream()
                .filter(alive)
                .filter(m -> !m.leaving && !leavingHosts.contains(m.info.host()))
                .map(Member::info)
                .filter(condition)
                .collect(Collectors.toList());
    }

    private static boolean valid(Long until, long nowNanos) {
        return until != null && until - nowNanos > 0;
    }

    private static Long later(Long a, Long b) {
        if (a == null || b == null) {
            return a == null ? b : a;
        }
        return a - b > 0 ? a : b;
    }

    /** What is known of a node; an instant is null while its source never showed the node. Immutable. */
    private record Member(NodeInfo info, boolean leaving, Long logUntil, Long beatUntil) {
        private PeerMessage.MemberObservation sign(long nowNanos, Duration validity) {
            long age = validity.minusNanos(beatUntil - nowNanos).toMillis();
            return new PeerMessage.MemberObservation(
                    info.node(), info.incarnation(), leaving, Math.max(0, age) + TRANSIT_MILLIS);
        }
    }
}
