package org.quetzalvane.core.team;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

import org.quetzalvane.core.time.Scheduler;
import org.quetzalvane.core.time.Stopwatch;

/**
 * Decides whether a node that reports to a hub gets the store's records through it or has to read the store itself.
 *
 * <p>A hub passes on each record at once and states in each view how far it has read each topic. The node relies on it
 * for a topic while views arrive, the hub hears from the store on that topic, and none of its records is missing; one
 * that is missing is requested. Hundreds of nodes that each read the store would make more calls than all else that the
 * product does there. Confined to the event loop.
 */
public final class RecordRelay {
    /** Age of the last view up to which the hub is relied on, ms: three status intervals and a margin. */
    private static final long MAX_VIEW_AGE_MS = 1_000;
    /**
     * Time since the hub last heard from the store on a topic up to which it is relied on for that topic, ms: a read
     * that waits for 1 s, and a status interval until the next view states its response.
     */
    private static final long MAX_STORE_AGE_MS = 1_500;
    /**
     * Time that a hub needs to list a restored store and to state so, ms: a read that is lost and sent again, and a
     * status interval.
     */
    private static final long HUB_LISTING_MS = 900;

    private final Scheduler scheduler;
    private final Function<String, Long> appliedOffset;
    private final Map<String, Long> requestedNanos = new HashMap<>();
    private final Set<String> received = new HashSet<>();
    /** Until when hubs have passed on each topic, as of the last time that one was relied on. */
    private final Map<String, Coverage> coverage = new HashMap<>();

    private Map<String, PeerMessage.TopicPosition> hubPositions = Map.of();
    private String hub;
    /** Runs since the last view; null before the first. */
    private Stopwatch sinceView;

    /** A hub passed on all that the store had answered up to {@code storeAgeMs} before the stopwatch was started. */
    private record Coverage(Stopwatch sinceRelied, long storeAgeMs) {}

    /**
     * Creates the decision of a node that relies on no hub yet.
     *
     * @param appliedOffset greatest offset of the records of a topic that this node has applied, or -1
     */
    public RecordRelay(Scheduler scheduler, Function<String, Long> appliedOffset) {
        this.scheduler = scheduler;
        this.appliedOffset = appliedOffset;
    }

    /** Processes the positions in a view of the hub; returns whether all records must be requested from it. */
    public boolean onView(String from, Map<String, PeerMessage.TopicPosition> positions) {
        if (!from.equals(hub)) {
            hub = from;
            received.clear();
            requestedNanos.clear();
        }
        sinceView = Stopwatch.start(scheduler);
        hubPositions = Map.copyOf(positions);
        boolean missing = positions.keySet().stream().anyMatch(t -> hubHearsStore(t) && !isComplete(t));
        return missing && takeRequest(from);
    }

    /** Records that all records of a topic have arrived from a node. */
    public void onRecords(String from, String topic) {
        if (from.equals(hub)) {
            received.add(topic);
        }
    }

    /**
     * Records, before they are applied, that a node passes on records of a topic. If those before them are missing
     * here, the later ones must not make the topic complete.
     *
     * @param after greatest offset that the node had applied before these records
     */
    public void onPassedOn(String topic, long after) {
        if (appliedOffset.apply(topic) < after) {
            received.remove(topic);
        }
    }

    /** Drops what is known of a lost hub: records that it passed on meanwhile are missing here. */
    public void onDisconnect(String peer) {
        if (peer.equals(hub)) {
            hub = null;
            received.clear();
        }
    }

    /**
     * Whether a node is the hub and has just heard from the store on a topic, so that its records are as recent as a
     * listing.
     */
    public boolean hubHearsStore(String from, String topic) {
        return from.equals(hub) && hubHearsStore(topic);
    }

    /** Whether the hub passes the records of a topic on, so that this node need not read the store for them. */
    public boolean reliesOnHub(String topic) {
        boolean relies = hub != null && hubHearsStore(topic) && isComplete(topic);
        if (relies) {
            coverage.put(topic, new Coverage(Stopwatch.start(scheduler), storeAgeMs(topic)));
        }
        return relies;
    }

    /**
     * Time since the store last answered a source that this node has all records of a topic from, milliseconds: itself,
     * or a hub for as long as it was relied on. A node that loses its hub knows no less than before.
     *
     * @param ownMs time since the store last answered this node
     */
    public long ageMs(String topic, long ownMs) {
        reliesOnHub(topic);
        Coverage c = coverage.get(topic);
        return c == null
                ? ownMs
                : Math.min(ownMs, c.storeAgeMs() + c.sinceRelied().elapsedMs());
    }

    /** Time after which the hub should have listed a restored store, milliseconds; 0 without a hub. */
    public long listingDelayMs() {
        return hub != null && viewIsRecent() ? HUB_LISTING_MS : 0;
    }

    private boolean hubHearsStore(String topic) {
        return viewIsRecent() && hubPositions.containsKey(topic) && storeAgeMs(topic) <= MAX_STORE_AGE_MS;
    }

    private boolean isComplete(String topic) {
        return received.contains(topic)
                && appliedOffset.apply(topic) >= hubPositions.get(topic).offset();
    }

    /** Address of the hub whose views arrive, or null. */
    public String hub() {
        return hub;
    }

    private boolean viewIsRecent() {
        return sinceView != null && sinceView.elapsedMs() < MAX_VIEW_AGE_MS;
    }

    /** Time since the hub last heard from the store on a topic that its last view states, milliseconds. */
    long storeAgeMs(String topic) {
        return hubPositions.get(topic).ageMs() + sinceView.elapsedMs();
    }

    /** At most one request per view timeout, so that a slow link is not filled with lists of records. */
    private boolean takeRequest(String from) {
        long now = scheduler.nanoTime();
        Long last = requestedNanos.get(from);
        if (last != null && now - last < MAX_VIEW_AGE_MS * 1_000_000) {
            return false;
        }
        requestedNanos.put(from, now);
        return true;
    }
}
