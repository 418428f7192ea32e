package org.quetzalvane.core.team;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.quetzalvane.core.time.Scheduler;

/**
 * The nodes known to this node: the latest status of each node that reports to it, and the latest view of its own hub.
 * Confined to the event loop.
 */
public final class PeerTable implements AssignmentLease.PreviousOwner {
    /** Interval between status messages, ms: half of the age that endpoint loads may have. */
    public static final long STATUS_INTERVAL_MS = 300;
    /**
     * Age of the last message up to which a peer counts as up, ms: four status intervals, so that lost packets do not
     * make a peer count as down.
     */
    static final long UP_TIMEOUT_MS = 4 * STATUS_INTERVAL_MS;
    /**
     * Time for which the nodes of the last view are kept without a newer one, ms: long enough to report to two further
     * hubs in turn.
     */
    private static final long VIEW_RETENTION_MS = 3_000;
    /** Time for which a silent node is not selected as a hub, ms, unless it sends a message. */
    private static final long SUSPICION_MS = 3_000;
    /** Time for which a peer that sends no status stays a connection target, ms: a restart takes a few seconds. */
    private static final long KNOWN_TIMEOUT_MS = 30_000;

    private final Scheduler scheduler;
    private final String self;
    private final Set<String> seeds;
    private final Map<String, ReceivedStatus> statuses = new HashMap<>();
    /** Peer whose status last listed a partition, whatever its generation. */
    private final Map<Integer, String> lastReporterByPartition = new HashMap<>();

    private final Map<String, Long> knownPeers = new HashMap<>();
    private final Map<String, Long> suspectedUntilNanos = new HashMap<>();
    private final RetryBudgetNodes budgetNodes;
    /** Other owners of engines when this node resumed its membership of an earlier run, or null if it did not. */
    private Set<String> otherOwners;

    private List<NodeInfo> viewNodes = List.of();
    private Map<Integer, String> viewOwners = Map.of();
    private long viewNanos;
    /** Results of {@link #up}, {@link #nodes} and {@link #ownerOf}, or null if a message has changed them. */
    private Cached cached;

    public PeerTable(Scheduler scheduler, String self, Set<String> seeds) {
        this.scheduler = scheduler;
        this.self = self;
        this.seeds = Set.copyOf(seeds);
        this.budgetNodes = new RetryBudgetNodes(scheduler, self);
    }

    /** Stores the status of a peer. */
    public void updatePeer(PeerMessage.Status s) {
        cached = null;
        statuses.put(s.from(), new ReceivedStatus(s, scheduler.nanoTime()));
        suspectedUntilNanos.remove(s.from());
        addKnown(s.node());
        s.duties().forEach(p -> lastReporterByPartition.put(p, s.from()));
        s.members().forEach(this::addKnown);
        s.hubs().stream().filter(h -> !knownPeers.containsKey(h)).forEach(this::addKnown);
    }

    /** Stores what a hub knows; a view without nodes or owners leaves the known ones as they are. */
    public void updateView(PeerMessage.View v) {
        boolean expired = !viewIsFresh();
        viewNanos = scheduler.nanoTime();
        if (expired
                || suspectedUntilNanos.remove(v.from()) != null
                || !v.nodes().isEmpty()) {
            cached = null;
        }
        if (v.owners() != null) {
            viewOwners = Map.copyOf(v.owners());
        }
        if (!v.nodes().isEmpty()) {
            viewNodes = List.copyOf(v.nodes());
        }
        viewNodes.forEach(this::addKnown);
    }

    /**
     * Stores the owners of engines that the store's group lists at the start of this node, which is one of them from an
     * earlier run of its process.
     */
    public void resumeOwner(Set<String> owners) {
        owners.forEach(this::addKnown);
        otherOwners = owners.stream().filter(o -> !o.equals(self)).collect(Collectors.toUnmodifiableSet());
    }

    @Override
    public boolean allOwnersHeard() {
        return otherOwners != null
                && up().stream()
                        .map(PeerMessage.Status::from)
                        .collect(Collectors.toSet())
                        .containsAll(otherOwners);
    }

    /** Adds a peer that is up or is listed by the store. */
    public void addKnown(String peer) {
        knownPeers.put(peer, scheduler.nanoTime());
        budgetNodes.listed(peer);
    }

    private void addKnown(NodeInfo n) {
        knownPeers.put(n.address(), scheduler.nanoTime());
        budgetNodes.up(n.address(), n.leaving());
    }

    /** Records that the connection to a peer has ended. */
    public void disconnected(String peer) {
        cached = null;
        statuses.remove(peer);
    }

    /** Removes the status of each peer that is silent, and returns these peers. */
    public List<String> removeSilent() {
        List<String> silent = statuses.values().stream()
                .filter(r -> !isFresh(r))
                .map(r -> r.status.from())
                .toList();
        if (!silent.isEmpty()) {
            cached = null;
            silent.forEach(statuses::remove);
        }
        return silent;
    }

    /** Records that a node does not answer, so that it is not selected as a hub until it sends a message. */
    public void suspect(String peer) {
        cached = null;
        suspectedUntilNanos.put(peer, scheduler.nanoTime() + SUSPICION_MS * 1_000_000);
    }

    /** Peers to look for other nodes at: seeds, and peers that were up or listed by the store recently. */
    public Set<String> contacts() {
        long now = scheduler.nanoTime();
        knownPeers.values().removeIf(at -> now - at > KNOWN_TIMEOUT_MS * 1_000_000);
        Set<String> all = new HashSet<>(knownPeers.keySet());
        all.addAll(seeds);
        all.remove(self);
        return all;
    }

    /** Whether any message of a peer is at hand. */
    public boolean knowsAnyNode() {
        return !nodes().isEmpty();
    }

    /** All other nodes that are up and not suspected: those that report here, their members, those of the view. */
    public Collection<NodeInfo> nodes() {
        return cached().nodes;
    }

    /** Status of each peer that is up and sends its status to this node. */
    public List<PeerMessage.Status> up() {
        return cached().up;
    }

    /** The state derived from the messages, derived again after a message or when the age of one matters. */
    private Cached cached() {
        long now = scheduler.nanoTime();
        if (cached == null || now >= cached.untilNanos) {
            suspectedUntilNanos.values().removeIf(until -> until <= now);
            List<PeerMessage.Status> up = new ArrayList<>(statuses.size());
            long until = now + UP_TIMEOUT_MS * 1_000_000;
            for (ReceivedStatus r : statuses.values()) {
                if (isFresh(r)) {
                    up.add(r.status);
                    until = Math.min(until, r.receivedNanos + UP_TIMEOUT_MS * 1_000_000);
                }
            }
            if (viewIsFresh()) {
                until = Math.min(until, viewNanos + VIEW_RETENTION_MS * 1_000_000);
            }
            for (long end : suspectedUntilNanos.values()) {
                until = Math.min(until, end);
            }
            cached = new Cached(until, List.copyOf(up), List.copyOf(nodesOf(up)), ownersOf(up));
        }
        return cached;
    }

    private Collection<NodeInfo> nodesOf(List<PeerMessage.Status> up) {
        Map<String, NodeInfo> all = new HashMap<>();
        if (viewIsFresh()) {
            viewNodes.forEach(n -> all.put(n.address(), n));
        }
        up.forEach(s -> s.members().forEach(n -> all.put(n.address(), n)));
        up.forEach(s -> all.put(s.from(), s.node()));
        all.remove(self);
        all.keySet().removeAll(suspectedUntilNanos.keySet());
        return all.values();
    }

    private static Map<Integer, String> ownersOf(List<PeerMessage.Status> up) {
        Map<Integer, PeerMessage.Status> newest = new HashMap<>();
        for (PeerMessage.Status s : up) {
            if (!s.node().leaving()) {
                s.duties().forEach(p -> newest.merge(p, s, (a, b) -> b.generation() > a.generation() ? b : a));
            }
        }
        Map<Integer, String> owners = new HashMap<>();
        newest.forEach((p, s) -> owners.put(p, s.from()));
        return owners;
    }

    /** The nodes that report to this node as their hub. */
    public List<NodeInfo> members() {
        return up().stream().map(PeerMessage.Status::node).filter(n -> !n.hub()).toList();
    }

    /** Last status of each node that reports to this node as its hub. */
    List<PeerMessage.Status> memberStatuses() {
        return up().stream().filter(s -> !s.node().hub()).toList();
    }

    /** Addresses of all other hubs that are up and not suspected. */
    public List<String> knownHubs() {
        return nodes().stream().filter(NodeInfo::hub).map(NodeInfo::address).toList();
    }

    /** Addresses of the hubs whose status arrives here. */
    public List<String> hubs() {
        return up().stream()
                .filter(s -> s.node().hub())
                .map(PeerMessage.Status::from)
                .toList();
    }

    /** The peer that owns a partition, or null if no peer that is up reports the partition. */
    public String ownerOf(int partition) {
        String owner = cached().owners.get(partition);
        return owner == null ? viewOwners.get(partition) : owner;
    }

    /** Owner of each partition as the peers that are up report it. */
    public Map<Integer, String> owners() {
        return new HashMap<>(cached().owners);
    }

    /**
     * Whether a peer that is up and not leaving sent orders under a partition within the last lease, or was the last
     * peer to report the partition and reports an older generation.
     */
    @Override
    public boolean mayStillOrder(int partition, long generation) {
        String lastOwner = lastReporterByPartition.get(partition);
        return up().stream()
                .filter(s -> !s.node().leaving())
                .anyMatch(s ->
                        s.ordered().contains(partition) || s.from().equals(lastOwner) && s.generation() < generation);
    }

    /** Loads from the weight store in flight at the peers that are up. */
    public int loadsInFlight() {
        return up().stream().mapToInt(PeerMessage.Status::loading).sum();
    }

    /** Nodes that share the retry budget, including this one; 0 if that is unknown. */
    public int retryBudgetNodes() {
        return budgetNodes.count();
    }

    private boolean viewIsFresh() {
        return scheduler.nanoTime() - viewNanos < VIEW_RETENTION_MS * 1_000_000;
    }

    private boolean isFresh(ReceivedStatus r) {
        return scheduler.nanoTime() - r.receivedNanos < UP_TIMEOUT_MS * 1_000_000;
    }

    /** What follows from the messages received so far, until {@code untilNanos}. */
    private record Cached(
            long untilNanos, List<PeerMessage.Status> up, List<NodeInfo> nodes, Map<Integer, String> owners) {}

    private record ReceivedStatus(PeerMessage.Status status, long receivedNanos) {}
}
