package org.quetzalvane.entry;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.quetzalvane.core.choice.EndpointLoads;
import org.quetzalvane.core.residency.AdapterUsage;
import org.quetzalvane.core.residency.LoadTimeEstimator;
import org.quetzalvane.core.residency.ResidencyTable;
import org.quetzalvane.core.store.PeerRecords;
import org.quetzalvane.core.store.RecordFollower;
import org.quetzalvane.core.store.StoreRecord;
import org.quetzalvane.core.team.AssignedEngines;
import org.quetzalvane.core.team.AssignmentLease;
import org.quetzalvane.core.team.PeerMessage;
import org.quetzalvane.core.team.PeerTable;
import org.quetzalvane.core.team.RecordPublisher;
import org.quetzalvane.core.team.RecordRelay;
import org.quetzalvane.core.team.StartupRecords;
import org.quetzalvane.core.team.StatusExchange;
import org.quetzalvane.core.time.ManualScheduler;

/**
 * Nodes of six data centres with a store, on one paused clock and a network of 1 ms: each follows the store's records,
 * exchanges its status and joins the group as an {@link EntryNode} does. Nodes can be frozen, killed, and cut off from
 * the store or from the other nodes. Single-threaded.
 */
final class PausedNodes {
    static final String OPERATOR = "operator";
    static final String ENDPOINTS = "endpoints";
    static final long LEASE_MS = 3_000;

    private static final int ZONES = 6;
    private static final long GROUP_TTL_MS = 3_000;

    final ManualScheduler clock = new ManualScheduler();
    final PausedStore store = new PausedStore(clock);
    private final boolean fencingEnforced;
    private final Map<String, Node> nodes = new TreeMap<>();
    /** Nodes, as FROM>TO, between which messages are lost. */
    private final Set<String> silentLinks = new HashSet<>();

    PausedNodes(boolean fencingEnforced) {
        this.fencingEnforced = fencingEnforced;
    }

    void start(int count) {
        for (int i = 0; i < count; i++) {
            Node n = new Node("10.0.0." + i + ":1", "zone-" + i % ZONES, 50 + i * 7 % 100);
            nodes.put(n.address, n);
        }
        nodes.values().forEach(Node::start);
    }

    /** Starts the process of a killed node again, which knows nothing of its earlier run. */
    void restart(String address) {
        Node before = nodes.get(address);
        Node n = new Node(address, before.zone, before.capacity);
        n.recoveredNanos = clock.nanoTime();
        nodes.put(address, n);
        n.start();
    }

    Collection<Node> all() {
        return nodes.values();
    }

    Node node(String address) {
        return nodes.get(address);
    }

    List<Node> hubs() {
        return nodes.values().stream().filter(n -> n.exchange.isHub()).toList();
    }

    void advance(long ms) {
        clock.advance(Duration.ofMillis(ms));
    }

    /** Loses the messages from one node to another one from now on, or no longer. */
    void silence(String from, String to, boolean on) {
        if (on) {
            silentLinks.add(from + ">" + to);
        } else {
            silentLinks.remove(from + ">" + to);
        }
    }

    /** What can happen to a node. */
    enum Fault {
        FROZEN,
        KILLED,
        CUT_FROM_STORE,
        REFUSED_BY_STORE,
        CUT_FROM_PEERS,
        CUT_OFF
    }

    /** A node with its own tables. */
    final class Node implements StatusExchange.Network {
        final String address;
        private final String zone;
        private final int capacity;
        final SuspendableScheduler scheduler = new SuspendableScheduler(clock);
        final AssignmentLease lease;
        final StatusExchange exchange;
        private final PeerTable peers;
        private final RecordRelay relay;
        private final RecordPublisher publisher;
        private final AssignmentMember member;
        private final Map<String, RecordFollower> followers = new HashMap<>();
        private final StartupRecords startupRecords;
        private final Map<String, String> values = new TreeMap<>();
        private Set<String> targets = Set.of();
        private PausedStore.Link storeLink = PausedStore.Link.SOUND;
        private boolean peersReachable = true;
        private boolean disturbed;
        private long recoveredNanos = -1_000_000_000_000L;

        private Node(String address, String zone, int capacity) {
            this.address = address;
            publisher = new RecordPublisher(address);
            this.zone = zone;
            this.capacity = capacity;
            peers = new PeerTable(scheduler, address, Set.of("10.0.0.0:1", "10.0.0.1:1"));
            lease = new AssignmentLease(scheduler, fencingEnforced, LEASE_MS, PausedStore.PARTITIONS, peers);
            PausedStore.Client client = store.new Client(scheduler, address, () -> storeLink);
            member = new AssignmentMember(
                    scheduler,
                    client,
                    lease,
                    peers,
                    (code, subject, fields) -> {},
                    new AssignmentMember.Membership(address, GROUP_TTL_MS),
                    new AssignmentMember.Listeners(this::assignmentChanged, this::resumeHub));
            exchange = new StatusExchange(scheduler, components(), local(), this);
            relay = new RecordRelay(scheduler, topic -> followers.get(topic).appliedOffset());
            follow(client, OPERATOR, PlatformState.CONFIG_WAIT_MS, 0);
            follow(client, ENDPOINTS, PlatformState.ENTRIES_WAIT_MS, PlatformState.ENTRIES_INTERVAL_MS);
            startupRecords = new StartupRecords(scheduler, followers, peers::contacts, this::requestRecords);
        }

        private void assignmentChanged() {
            exchange.announceEngines();
        }

        private void resumeHub() {
            exchange.resumeHub();
        }

        private StatusExchange.Components components() {
            return new StatusExchange.Components(
                    peers,
                    new EndpointLoads(),
                    new AdapterUsage(scheduler),
                    new ResidencyTable(scheduler),
                    lease,
                    new AssignedEngines(lease, e -> null),
                    new LoadTimeEstimator(scheduler, () -> 0, () -> 1),
                    (code, subject, fields) -> {});
        }

        private StatusExchange.LocalNode local() {
            return new StatusExchange.LocalNode(
                    address, address, zone, capacity, () -> true, () -> false, this::positions, member::setActive);
        }

        private void follow(PausedStore.Client client, String topic, long waitMs, long intervalMs) {
            RecordFollower f = new RecordFollower(
                    scheduler, client.topic(topic), (code, subject, fields) -> {}, waitMs, intervalMs, this::apply);
            f.exchange(() -> relay.reliesOnHub(topic), relay::listingDelayMs, records -> sendToMembers(topic, records));
            followers.put(topic, f);
        }

        private boolean requestRecords(String peer) {
            return send(peer, new PeerMessage.RecordsRequest(address));
        }

        private void apply(StoreRecord r) {
            if (r.value() == null) {
                values.remove(r.key());
            } else {
                values.put(r.key(), new String(r.value()));
            }
        }

        private void start() {
            followers.values().forEach(RecordFollower::start);
            member.start();
            exchange.start();
            startupRecords.start();
        }

        /** Newest value of each key as this node knows it. */
        Map<String, String> values() {
            return values;
        }

        /** Starts a fault. */
        void disturb(Fault f) {
            switch (f) {
                case FROZEN -> scheduler.freeze();
                case KILLED -> scheduler.kill();
                default -> {
                    storeLink = switch (f) {
                        case CUT_FROM_PEERS -> PausedStore.Link.SOUND;
                        case REFUSED_BY_STORE -> PausedStore.Link.REFUSED;
                        default -> PausedStore.Link.CUT;
                    };
                    peersReachable = f == Fault.CUT_FROM_STORE || f == Fault.REFUSED_BY_STORE;
                }
            }
            disturbed = true;
        }

        /** Ends the fault; a killed node stays so. */
        void recover() {
            storeLink = PausedStore.Link.SOUND;
            peersReachable = true;
            disturbed = false;
            recoveredNanos = clock.nanoTime();
            scheduler.thaw();
        }

        /** Whether this node has run and reached all others for a time, ms. */
        boolean undisturbedFor(long ms) {
            return !disturbed && clock.nanoTime() - recoveredNanos >= ms * 1_000_000;
        }

        private Map<String, PeerMessage.TopicPosition> positions() {
            Map<String, PeerMessage.TopicPosition> positions = new HashMap<>();
            followers.forEach((topic, f) -> {
                if (f.initialized()) {
                    positions.put(topic, new PeerMessage.TopicPosition(f.appliedOffset(), f.msSinceLastResponse()));
                }
            });
            return positions;
        }

        private void sendToMembers(String topic, List<StoreRecord> records) {
            PeerMessage.Records m = publisher.publish(topic, records);
            peers.members().forEach(n -> send(n.address(), m));
        }

        @Override
        public void setTargets(Set<String> all) {
            targets = Set.copyOf(all);
        }

        @Override
        public boolean send(String peer, PeerMessage m) {
            Node to = nodes.get(peer);
            if (to == null || !targets.contains(peer) && !to.targets.contains(address)) {
                return false;
            }
            if (peersReachable && to.peersReachable && !silentLinks.contains(address + ">" + peer)) {
                to.scheduler.schedule(Duration.ofMillis(1), () -> to.receive(m));
            }
            return true;
        }

        private PeerMessage completeList(String topic, PeerRecords known) {
            return new PeerMessage.Records(address, topic, true, known.records(), known.endOffset());
        }

        private void receive(PeerMessage m) {
            if (m instanceof PeerMessage.Status s) {
                exchange.onStatus(s);
            } else if (m instanceof PeerMessage.View v) {
                exchange.onView(v);
                if (v.from().equals(exchange.reportsTo()) && relay.onView(v.from(), v.records())) {
                    send(v.from(), new PeerMessage.RecordsRequest(address));
                }
            } else if (m instanceof PeerMessage.RecordsRequest r) {
                followers.forEach((topic, f) -> send(r.from(), completeList(topic, f.records())));
            } else if (m instanceof PeerMessage.Records r) {
                if (!r.complete()) {
                    relay.onPassedOn(r.topic(), r.endOffset());
                }
                startupRecords.onRecords(r, relay.hubHearsStore(r.from(), r.topic()));
                if (r.complete()) {
                    relay.onRecords(r.from(), r.topic());
                }
            }
        }
    }
}
