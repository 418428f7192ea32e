package org.quetzalvane.core.team;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.Supplier;

import org.quetzalvane.core.store.PeerRecords;
import org.quetzalvane.core.store.RecordFollower;
import org.quetzalvane.core.time.Scheduler;

/**
 * Obtains the records of the store from the peers for a node that starts while the store does not answer.
 *
 * <p>One peer alone may be out of date, for example because it could not reach the store earlier: its answer could
 * bring a revoked key or an endpoint that has left back into use. The answers to the requests are therefore held back
 * until every contact has answered, for at most {@link #MAX_WAIT_MS}, and are then applied as one. A topic that the
 * store has listed is not affected. Confined to the event loop.
 */
public final class StartupRecords {
    /** Time after the first request after which the answers at hand are applied, ms. */
    static final long MAX_WAIT_MS = 1_000;
    /** Time after the start for which only the store is asked, ms: several times its usual response time. */
    private static final long FIRST_REQUEST_MS = 500;
    /** Interval at which contacts that were not connected before are asked, ms. */
    private static final long CONTACT_INTERVAL_MS = 100;

    private final Scheduler scheduler;
    private final Map<String, RecordFollower> followers;
    private final Supplier<Set<String>> contacts;
    private final Predicate<String> request;
    private final Set<String> asked = new HashSet<>();
    /** Topics that each peer has answered for. */
    private final Map<String, Set<String>> answered = new HashMap<>();

    private final Map<String, List<PeerRecords>> heldBack = new HashMap<>();
    private boolean collecting;

    /**
     * Creates the exchange of a node that knows nothing.
     *
     * @param followers known records by topic
     * @param contacts peers that may know the records
     * @param request requests the records of a peer; returns false if there is no connection
     */
    public StartupRecords(
            Scheduler scheduler,
            Map<String, RecordFollower> followers,
            Supplier<Set<String>> contacts,
            Predicate<String> request) {
        this.scheduler = scheduler;
        this.followers = Map.copyOf(followers);
        this.contacts = contacts;
        this.request = request;
    }

    /** Starts asking the peers, unless the store answers first. */
    public void start() {
        scheduler.schedule(Duration.ofMillis(FIRST_REQUEST_MS), this::askContacts);
    }

    /**
     * Processes records that a peer sent.
     *
     * @param fromStore whether the peer reads the store, so that its answer is as recent as a listing
     */
    public void onRecords(PeerMessage.Records r, boolean fromStore) {
        RecordFollower follower = followers.get(r.topic());
        if (follower == null) {
            return;
        }
        if (!r.complete()) {
            follower.applyFromPeer(r.records());
            return;
        }
        PeerRecords answer = new PeerRecords(r.records(), r.endOffset());
        if (follower.initialized() || fromStore) {
            follower.applyFromPeer(answer);
        } else {
            heldBack.computeIfAbsent(r.topic(), t -> new ArrayList<>()).add(answer);
        }
        answered.computeIfAbsent(r.from(), p -> new HashSet<>()).add(r.topic());
        if (collecting && contacts.get().stream().allMatch(this::hasAnswered)) {
            applyHeldBack();
        }
    }

    private boolean hasAnswered(String peer) {
        return answered.getOrDefault(peer, Set.of()).containsAll(followers.keySet());
    }

    /** Asks every contact once it is connected; one that knew nothing is asked again while a topic is unknown. */
    private void askContacts() {
        if (followers.values().stream().allMatch(RecordFollower::heard)) {
            applyHeldBack();
            return;
        }
        for (String peer : contacts.get()) {
            if (!asked.contains(peer) && request.test(peer)) {
                asked.add(peer);
                startCollecting();
            }
        }
        scheduler.schedule(Duration.ofMillis(CONTACT_INTERVAL_MS), this::askContacts);
    }

    private void startCollecting() {
        if (!collecting) {
            collecting = true;
            scheduler.schedule(Duration.ofMillis(MAX_WAIT_MS), this::applyHeldBack);
        }
    }

    private void applyHeldBack() {
        collecting = false;
        heldBack.forEach((topic, answers) -> followers.get(topic).applyFromPeer(PeerRecords.merge(answers)));
        heldBack.clear();
        if (!followers.values().stream().allMatch(RecordFollower::initialized)) {
            asked.removeIf(peer -> !hasAnswered(peer));
        }
    }
}
