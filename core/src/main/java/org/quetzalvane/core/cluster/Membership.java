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
 * The nodes known from lease renewals on the log and from heartbeats, and the hosts that the host list reports as
 * leaving.
 *
 * <p>Invariants: a message of an older incarnation never replaces a newer one; a node is a candidate only while its
 * last renewal is valid and neither the node nor the host list reports that it is leaving. A host that is missing from
 * the list does not count as leaving.
 *
 * <p>Thread-safe; its monitor is a leaf in the lock order.
 */
public final class Membership {
    /** Added to an age that is passed on, for rounding and transmission time. */
    private static final long TRANSIT_ALLOWANCE_MILLIS = 10;

    private final Map<String, Member> members = new HashMap<>();
    private final Set<String> leavingHosts = new HashSet<>();
    private final EventLog events;

    public Membership(EventLog events) {
        this.events = events;
    }

    /**
     * Records a lease renewal of a node that was read from the log.
     *
     * @param validUntilNanos monotonic time in nanoseconds until which the renewal is valid
     * @return false when the renewal is of an older incarnation and has no effect
     */
    public boolean recordRenewal(NodeInfo info, boolean leaving, long validUntilNanos) {
        return update(info, leaving, validUntilNanos, null);
    }

    /** Records a heartbeat of a node; otherwise like {@link #recordRenewal}. */
    public boolean recordHeartbeat(NodeInfo info, boolean leaving, long validUntilNanos) {
        return update(info, leaving, null, validUntilNanos);
    }

    /** Records a heartbeat that another node received; has an effect only for the incarnation known here. */
    public void recordIndirectHeartbeat(String node, long incarnation, boolean leaving, long validUntilNanos) {
        find(node)
                .filter(i -> i.incarnation() == incarnation)
                .ifPresent(i -> update(i, leaving, null, validUntilNanos));
    }

    /** Replaces the hosts known to be leaving by those of the host list. */
    public synchronized void updateHostList(Collection<HostEntry> hosts) {
        leavingHosts.clear();
        hosts.stream().filter(HostEntry::leaving).map(HostEntry::host).forEach(leavingHosts::add);
    }

    /** Whether the host list reports that a host is leaving. */
    public synchronized boolean isHostLeaving(String host) {
        return leavingHosts.contains(host);
    }

    /** The identity and addresses of a node, if it is known. */
    public synchronized Optional<NodeInfo> find(String node) {
        return Optional.ofNullable(members.get(node)).map(m -> m.info);
    }

    /** The nodes with a valid renewal at the given time that are not leaving and satisfy a condition. */
    public synchronized List<NodeInfo> candidates(long nowNanos, Predicate<NodeInfo> condition) {
        return select(m -> valid(m.renewalUntil, nowNanos), condition);
    }

    /** Like {@link #candidates}, but also with the nodes that have only a valid heartbeat. */
    public synchronized List<NodeInfo> live(long nowNanos, Predicate<NodeInfo> condition) {
        return select(m -> valid(m.renewalUntil, nowNanos) || valid(m.heartbeatUntil, nowNanos), condition);
    }

    /** All known nodes that satisfy a condition, live or not, ordered by name. */
    public synchronized List<NodeInfo> known(Predicate<NodeInfo> condition) {
        return members.values().stream()
                .map(Member::info)
                .filter(condition)
                .sorted(Comparator.comparing(NodeInfo::node))
                .collect(Collectors.toList());
    }

    /**
     * Observations of the nodes that have a valid heartbeat and satisfy a condition, ordered by name.
     *
     * @param validity duration for which each heartbeat was recorded as valid; the age of a heartbeat is this duration
     *    less the remaining validity
     */
    public synchronized List<PeerMessage.MemberObservation> observations(
            long nowNanos, Duration validity, Predicate<NodeInfo> condition) {
        return members.values().stream()
                .filter(m -> valid(m.heartbeatUntil, nowNanos) && condition.test(m.info))
                .map(m -> m.observation(nowNanos, validity))
                .sorted(Comparator.comparing(PeerMessage.MemberObservation::node))
                .collect(Collectors.toCollection(ArrayList::new));
    }

    /** Removes the nodes whose renewals and heartbeats have been invalid for longer than the given time. */
    public void removeSilent(long nowNanos, Duration silence) {
        List<String> removed;
        synchronized (this) {
            long since = nowNanos - silence.toNanos();
            removed = members.values().stream()
                    .filter(m -> !valid(m.renewalUntil, since) && !valid(m.heartbeatUntil, since))
                    .map(m -> m.info.node())
                    .toList();
            removed.forEach(members::remove);
        }
        removed.forEach(n -> events.record(EventCode.MEMBER_LOST, n, ""));
    }

    private boolean update(NodeInfo info, boolean leaving, Long renewalUntil, Long heartbeatUntil) {
        Member previous;
        synchronized (this) {
            previous = members.get(info.node());
            if (previous != null && previous.info.incarnation() > info.incarnation()) {
                return false;
            }
            boolean sameIncarnation = previous != null && previous.info.incarnation() == info.incarnation();
            boolean isLeaving = leaving || sameIncarnation && previous.leaving;
            Long renewal = previous == null ? renewalUntil : later(previous.renewalUntil, renewalUntil);
            Long heartbeat = previous == null ? heartbeatUntil : later(previous.heartbeatUntil, heartbeatUntil);
            members.put(info.node(), new Member(info, isLeaving, renewal, heartbeat));
        }
        if (previous == null || previous.info.incarnation() < info.incarnation()) {
            events.record(EventCode.MEMBER_JOINED, info.node(), "incarnation " + info.incarnation());
        }
        if (leaving && (previous == null || !previous.leaving)) {
            events.record(EventCode.MEMBER_LEAVING, info.node(), "");
        }
        return true;
    }

    private List<NodeInfo> select(Predicate<Member> liveness, Predicate<NodeInfo> condition) {
        return members.values().stream()
                .filter(liveness)
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

    /** A known node. A time of validity is null while there was no renewal or no heartbeat. Immutable. */
    private record Member(NodeInfo info, boolean leaving, Long renewalUntil, Long heartbeatUntil) {
        private PeerMessage.MemberObservation observation(long nowNanos, Duration validity) {
            long age = validity.minusNanos(heartbeatUntil - nowNanos).toMillis();
            return new PeerMessage.MemberObservation(
                    info.node(), info.incarnation(), leaving, Math.max(0, age) + TRANSIT_ALLOWANCE_MILLIS);
        }
    }
}
