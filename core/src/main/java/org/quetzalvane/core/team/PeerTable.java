package org.quetzalvane.core.team;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.quetzalvane.core.time.Scheduler;

/** The latest status of each peer and the time of its arrival. Confined to the event loop. */
public final class PeerTable {
    /** Interval between status messages, ms: half of the age that endpoint loads may have. */
    public static final long STATUS_INTERVAL_MS = 300;
    /**
     * Age of the last status up to which a peer counts as up, ms: four status intervals, so that lost packets do not
     * make a peer count as down.
     */
    private static final long UP_TIMEOUT_MS = 4 * STATUS_INTERVAL_MS;
    /** Time for which a peer that sends no status stays a connection target, ms: a restart takes a few seconds. */
    private static final long KNOWN_TIMEOUT_MS = 30_000;
    /**
     * Age up to which a known peer is counted in the retry budget, ms: the window of the budget, usually 10 s, and a
     * margin.
     */
    private static final long BUDGET_SHARING_MS = 12_000;

    private final Scheduler scheduler;
    private final String self;
    private final Set<String> seeds;
    private final Map<String, ReceivedStatus> statuses = new HashMap<>();
    /** Peer whose status last listed a partition, whatever its generation. */
    private final Map<Integer, String> lastReporterByPartition = new HashMap<>();

    private final Map<String, Long> knownPeers = new HashMap<>();

    public PeerTable(Scheduler scheduler, String self, Set<String> seeds) {
        this.scheduler = scheduler;
        this.self = self;
        this.seeds = Set.copyOf(seeds);
    }

    /** Stores the status of a peer. */
    public void updatePeer(PeerMessage.Status s) {
        statuses.put(s.from(), new ReceivedStatus(s, scheduler.nanoTime()));
        addKnown(s.from());
        s.duties().forEach(p -> lastReporterByPartition.put(p, s.from()));
        s.members().forEach(m -> knownPeers.putIfAbsent(m, scheduler.nanoTime()));
    }

    /** Adds a peer that sent its status or is listed by the store. */
    public void addKnown(String peer) {
        knownPeers.put(peer, scheduler.nanoTime());
    }

    /** Records that the connection to a peer has ended. */
    public void disconnected(String peer) {
        statuses.remove(peer);
    }

    /** Peers to keep a connection to. */
    public Set<String> connectTargets() {
        long now = scheduler.nanoTime();
        knownPeers.values().removeIf(at -> now - at > KNOWN_TIMEOUT_MS * 1_000_000);
        Set<String> all = new HashSet<>(knownPeers.keySet());
        all.addAll(seeds);
        all.remove(self);
        return all;
    }

    /** Status of each peer that is up. */
    public List<PeerMessage.Status> up() {
        long now = scheduler.nanoTime();
        return statuses.values().stream()
                .filter(r -> now - r.receivedNanos < UP_TIMEOUT_MS * 1_000_000)
                .map(ReceivedStatus::status)
                .toList();
    }

    public boolean isUp(String peer) {
        ReceivedStatus r = statuses.get(peer);
        return r != null && scheduler.nanoTime() - r.receivedNanos < UP_TIMEOUT_MS * 1_000_000;
    }

    /** The peer that owns a partition, or null if no peer that is up reports the partition. */
    public String ownerOf(int partition) {
        return up().stream()
                .filter(s -> !s.leaving() && s.duties().contains(partition))
                .max(Comparator.comparingLong(PeerMessage.Status::generation))
                .map(PeerMessage.Status::from)
                .orElse(null);
    }

    /**
     * Whether a peer that is up and not leaving sent orders under a partition within the last lease, or was the last
     * peer to report the partition and reports an older generation.
     */
    public boolean mayStillOrder(int partition, long generation) {
        String lastOwner = lastReporterByPartition.get(partition);
        return up().stream()
                .filter(s -> !s.leaving())
                .anyMatch(s ->
                        s.ordered().contains(partition) || s.from().equals(lastOwner) && s.generation() < generation);
    }

    /** Loads from the weight store in flight at the peers that are up. */
    public int loadsInFlight() {
        return up().stream().mapToInt(PeerMessage.Status::loading).sum();
    }

    /** Nodes that share the retry budget, including this one; 0 if no peer was seen recently. */
    public int retryBudgetNodes() {
        long now = scheduler.nanoTime();
        long n = knownPeers.values().stream()
                .filter(at -> now - at < BUDGET_SHARING_MS * 1_000_000)
                .count();
        return n == 0 ? 0 : (int) n + (knownPeers.containsKey(self) ? 0 : 1);
    }

    private record ReceivedStatus(PeerMessage.Status status, long receivedNanos) {}
}
