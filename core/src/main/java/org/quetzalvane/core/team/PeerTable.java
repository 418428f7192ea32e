package org.quetzalvane.core.team;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.quetzalvane.core.time.Scheduler;

/**
 * The peers as they describe themselves, and how long ago. Confined to the event loop.
 */
public final class PeerTable {
    /** Pause between a node's reports of its state, ms: half of the time in which a load picture should be renewed. */
    public static final long REPORT_INTERVAL_MS = 300;
    /** A peer counts as up this long after its last report, ms: four reports, so that one lost packet hides nobody. */
    private static final long UP_MS = 4 * REPORT_INTERVAL_MS;
    /** A silent peer is remembered and called this long, ms: a restart takes a few seconds. */
    private static final long REMEMBERED_MS = 30_000;
    /** Peers heard of within this time share the retry budget, ms: its window of 10 s and some. */
    private static final long SHARING_MS = 12_000;

    private final Scheduler scheduler;
    private final String self;
    private final Set<String> seeds;
    private final Map<String, Heard> heard = new HashMap<>();
    private final Map<Integer, String> lastHolders = new HashMap<>();
    private final Map<String, Long> named = new HashMap<>();

    public PeerTable(Scheduler scheduler, String self, Set<String> seeds) {
        this.scheduler = scheduler;
        this.self = self;
        this.seeds = Set.copyOf(seeds);
    }

    /** Takes a peer's report. */
    public void updatePeer(PeerMessage.Status s) {
        heard.put(s.from(), new Heard(s, scheduler.nanoTime()));
        addKnown(s.from());
        s.duties().forEach(d -> lastHolders.put(d, s.from()));
        s.members().forEach(m -> named.putIfAbsent(m, scheduler.nanoTime()));
    }

    /** Takes note of a peer that the store or another peer names. */
    public void addKnown(String peer) {
        named.put(peer, scheduler.nanoTime());
    }

    /** Takes note that the connection to a peer ended. */
    public void disconnected(String peer) {
        heard.remove(peer);
    }

    /** Peers to keep a connection to. */
    public Set<String> connectTargets() {
        long now = scheduler.nanoTime();
        named.values().removeIf(at -> now - at > REMEMBERED_MS * 1_000_000);
        Set<String> all = new HashSet<>(named.keySet());
        all.addAll(seeds);
        all.remove(self);
        return all;
    }

    /** Reports of the peers that are up. */
    public List<PeerMessage.Status> up() {
        long now = scheduler.nanoTime();
        return heard.values().stream()
                .filter(h -> now - h.atNanos < UP_MS * 1_000_000)
                .map(Heard::status)
                .toList();
    }

    /** Whether a peer is up. */
    public boolean isUp(String peer) {
        Heard h = heard.get(peer);
        return h != null && scheduler.nanoTime() - h.atNanos < UP_MS * 1_000_000;
    }

    /** The peer that holds a duty, or null when none that is up says so. */
    public String ownerOf(int duty) {
        return up().stream()
                .filter(s -> !s.leaving() && s.duties().contains(duty))
                .max(Comparator.comparingLong(PeerMessage.Status::generation))
                .map(PeerMessage.Status::from)
                .orElse(null);
    }

    /**
     * Whether a peer that is up and not being stopped gave orders under a duty within the last lease, or held the duty
     * last and has not heard of the generation in which it lost it.
     */
    public boolean mayStillOrder(int duty, long generation) {
        String last = lastHolders.get(duty);
        return up().stream()
                .filter(s -> !s.leaving())
                .anyMatch(s -> s.ordered().contains(duty) || s.from().equals(last) && s.generation() < generation);
    }

    /** Loads from the store that the peers that are up have on their way. */
    public int loadsInFlight() {
        return up().stream().mapToInt(PeerMessage.Status::loading).sum();
    }

    /** Nodes that share the retry budget, this one included; 0 when no peer was ever heard of. */
    public int retryBudgetNodes() {
        long now = scheduler.nanoTime();
        long n = named.values().stream()
                .filter(at -> now - at < SHARING_MS * 1_000_000)
                .count();
        return n == 0 ? 0 : (int) n + (named.containsKey(self) ? 0 : 1);
    }

    private record Heard(PeerMessage.Status status, long atNanos) {}
}
