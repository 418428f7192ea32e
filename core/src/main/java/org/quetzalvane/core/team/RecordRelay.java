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
 * <p>A hub passes on each record at once and states in each view how far it has read. The node relies on it while views
 * arrive, the hub hears from the store, and no record is missing; one that is missing is requested. Hundreds of nodes
 * that each read the store would make more calls than all else that the product does there. Confined to the event loop.
 */
public final class RecordRelay {
    /** Age of the last view up to which the hub is relied on, ms: three status intervals and a margin. */
    private static final long MAX_VIEW_AGE_MS = 1_000;
    /**
     * Time since the hub last heard from the store on the topic that it reads most often, ms: its reads wait for 1 s
     * and are 0.7 s apart.
     */
    private static final long MAX_STORE_AGE_MS = 2_000;

    private final Scheduler scheduler;
    private final Function<String, Long> appliedOffset;
    private final Map<String, Long> requestedNanos = new HashMap<>();
    private final Set<String> received = new HashSet<>();
    private Map<String, PeerMessage.TopicPosition> hubPositions = Map.of();
    private String hub;
    /** Runs since the last view; null before the first. */
    private Stopwatch sinceView;

    private boolean storeHeard;
    private boolean complete;

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
        storeHeard = positions.values().stream().anyMatch(p -> p.ageMs() <= MAX_STORE_AGE_MS);
        complete = received.containsAll(positions.keySet())
                && positions.entrySet().stream()
                        .allMatch(e ->
                                appliedOffset.apply(e.getKey()) >= e.getValue().offset());
        return !complete && storeHeard && takeRequest(from);
    }

    /** Records that all records of a topic have arrived from a node. */
    public void onRecords(String from, String topic) {
        if (from.equals(hub)) {
            received.add(topic);
        }
    }

    /** Drops what is known of a lost hub: records that it passed on meanwhile are missing here. */
    public void onDisconnect(String peer) {
        if (peer.equals(hub)) {
            hub = null;
            complete = false;
        }
    }

    /** Whether a node is the hub and has just heard from the store, so that its records are as recent as a listing. */
    public boolean hubHearsStore(String from) {
        return from.equals(hub) && storeHeard && viewIsRecent();
    }

    /** Whether the hub passes the records on, so that this node need not read the store. */
    public boolean reliesOnHub() {
        return complete && storeHeard && viewIsRecent();
    }

    /** Address of the hub whose views arrive, or null. */
    public String hub() {
        return hub;
    }

    private boolean viewIsRecent() {
        return sinceView != null && sinceView.elapsedMs() < MAX_VIEW_AGE_MS;
    }

    /** Time since the hub last heard from the store on a topic, milliseconds; 0 for a topic it has not named. */
    public long storeAgeMs(String topic) {
        PeerMessage.TopicPosition p = hubPositions.get(topic);
        return p == null ? 0 : p.ageMs() + sinceView.elapsedMs();
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
