package org.quetzalvane.core.cluster;

import java.util.Collection;
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
    private final Map<String, Member> members = new HashMap<>();
    private final Set<String> leavingHosts = new HashSet<>();
    private final EventLog events;

    public Membership(EventLog events) {
        this.events = events;
    }

    /** Notes a sign of life of a node, valid until the given monotonic instant in nanoseconds. */
    public void heard(NodeInfo info, boolean leaving, long validUntilNanos) {
        Member before;
        synchronized (this) {
            before = members.get(info.node());
            if (before != null && before.info.incarnation() > info.incarnation()) {
                return;
            }
            long until = before == null ? validUntilNanos : Math.max(before.validUntilNanos, validUntilNanos);
            members.put(info.node(), new Member(info, leaving, until));
        }
        if (before == null || before.info.incarnation() < info.incarnation()) {
            events.record(EventCode.MEMBER_JOINED, info.node(), "incarnation " + info.incarnation());
        }
        if (leaving && (before == null || !before.leaving)) {
            events.record(EventCode.MEMBER_LEAVING, info.node(), "");
        }
    }

    /** Takes in the host list. */
    public synchronized void hostList(Collection<HostEntry> hosts) {
        leavingHosts.clear();
        hosts.stream().filter(HostEntry::leaving).map(HostEntry::host).forEach(leavingHosts::add);
    }

    /** Whether the host list says that a host is leaving. */
    public synchronized boolean hostLeaving(String host) {
        return leavingHosts.contains(host);
    }

    /** Where a node is reached, if it was ever heard of. */
    public synchronized Optional<NodeInfo> find(String node) {
        return Optional.ofNullable(members.get(node)).map(m -> m.info);
    }

    /** Nodes that are live and not leaving at the given instant, and fit a condition. */
    public synchronized List<NodeInfo> candidates(long nowNanos, Predicate<NodeInfo> condition) {
        return members.values().stream()
                .filter(m -> m.validUntilNanos - nowNanos > 0)
                .filter(m -> !m.leaving && !leavingHosts.contains(m.info.host()))
                .map(m -> m.info)
                .filter(condition)
                .collect(Collectors.toList());
    }

    private static final class Member {
        private final NodeInfo info;
        private final boolean leaving;
        private final long validUntilNanos;

        Member(NodeInfo info, boolean leaving, long validUntilNanos) {
            this.info = info;
            this.leaving = leaving;
            this.validUntilNanos = validUntilNanos;
        }
    }
}
