package org.quetzalvane.core.team;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalvane.core.choice.EndpointLoads;
import org.quetzalvane.core.residency.AdapterUsage;
import org.quetzalvane.core.residency.LoadTimeEstimator;
import org.quetzalvane.core.residency.ResidencyTable;
import org.quetzalvane.core.time.ManualScheduler;
import org.quetzalvane.core.time.Stopwatch;

import static org.assertj.core.api.Assertions.assertThat;

/** Nodes of several data centres that exchange their status, on one paused clock and a network of 1 ms. */
class StatusExchangeTest {
    private static final int ZONES = 6;
    private static final String ENDPOINT = "e1";

    private final ManualScheduler clock = new ManualScheduler();
    private final Map<String, Node> nodes = new TreeMap<>();
    private long messages;
    private boolean viewsAreLost;
    /** Nodes whose index has this remainder by two are of the older version. */
    private int olderRemainder = -1;

    private void startNodes(int count) {
        for (int i = 0; i < count; i++) {
            Node n = new Node("10.0.0." + i + ":1", "zone-" + i % ZONES, 50 + i * 7 % 100);
            n.older = i % 2 == olderRemainder;
            nodes.put(n.address, n);
        }
        nodes.values().forEach(n -> n.exchange.start());
    }

    @ParameterizedTest
    @CsvSource({"1, 1", "9, 9", "12, 12", "13, 12", "58, 12", "95, 12", "300, 12"})
    void hubsAreBoundedByTheDataCentresAndEveryNodeKnowsAllOthers(int count, int hubs) {
        startNodes(count);
        clock.advance(Duration.ofSeconds(5));
        assertThat(hubsUp()).hasSize(hubs);
        assertThat(nodes.values()).allSatisfy(n -> assertThat(n.peers.nodes()).hasSize(count - 1));
    }

    @ParameterizedTest
    @ValueSource(ints = {95, 300})
    void messagesGrowWithTheNodesAndNotWithTheirSquare(int count) {
        startNodes(count);
        clock.advance(Duration.ofSeconds(20));
        messages = 0;
        clock.advance(Duration.ofMillis(10 * PeerTable.STATUS_INTERVAL_MS));
        int hubs = ZONES * HubSelector.HUBS_PER_ZONE;
        assertThat(messages).isLessThanOrEqualTo(10L * (hubs * (hubs - 1) + 2 * count) + 2 * count);
    }

    @Test
    void everyNodeKnowsTheLoadOfAllNodesOnceAfterThreeIntervals() {
        startNodes(95);
        clock.advance(Duration.ofSeconds(20));
        nodes.values().forEach(n -> n.loads.requestStarted(ENDPOINT, 10));
        clock.advance(Duration.ofMillis(3 * PeerTable.STATUS_INTERVAL_MS + 10));
        assertThat(nodes.values())
                .allSatisfy(n -> assertThat(n.loads.total(ENDPOINT)).isEqualTo(new EndpointLoads.Load(95, 950)));
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 5})
    void nodesOfADataCentreReportToOtherHubsWithinThreeSeconds(int lostPerZone) {
        startNodes(95);
        clock.advance(Duration.ofSeconds(20));
        Set<String> lost = nodes.values().stream()
                .filter(n -> n.zone.equals("zone-2"))
                .sorted(Comparator.comparing((Node n) -> !n.exchange.isHub()))
                .limit(lostPerZone)
                .map(n -> n.address)
                .collect(Collectors.toSet());
        lost.forEach(a -> nodes.get(a).silent = true);
        clock.advance(Duration.ofSeconds(4));
        List<Node> left =
                nodes.values().stream().filter(n -> !lost.contains(n.address)).toList();
        assertThat(left).allSatisfy(n -> {
            assertThat(n.exchange.isHub() || !lost.contains(n.exchange.reportsTo()))
                    .isTrue();
            assertThat(n.peers.nodes()).extracting(NodeInfo::address).doesNotContainAnyElementsOf(lost);
            assertThat(n.peers.nodes()).hasSize(95 - lostPerZone - 1);
        });
    }

    @Test
    void hubThatWasFrozenIsAHubAgainAndItsStandInStepsDown() {
        Node frozen = startNodesAndFreezeAHub();
        assertThat(hubsUp()).hasSizeGreaterThanOrEqualTo(12);
        frozen.silent = false;
        clock.advance(Duration.ofSeconds(25));
        assertThat(hubsUp()).hasSize(12);
        assertThat(nodes.values())
                .allSatisfy(n -> assertThat(n.owner).isEqualTo(n.exchange.isHub()))
                .allSatisfy(n -> assertThat(n.peers.nodes()).hasSize(94));
    }

    @Test
    void nodesThatKnowNobodyBecomeHubsOnTheirOwn() {
        startNodes(20);
        nodes.values().forEach(n -> n.silent = true);
        clock.advance(Duration.ofSeconds(5));
        assertThat(nodes.values())
                .allSatisfy(n -> assertThat(n.exchange.isHub()).isTrue());
        nodes.values().forEach(n -> n.silent = false);
        clock.advance(Duration.ofSeconds(25));
        assertThat(hubsUp()).hasSize(12);
    }

    /** A hub that gives up its engines is heard by the other hubs for as long as a new owner has to wait for it. */
    @Test
    void hubThatStepsDownReportsUntilItsLastOrderIsALeaseAgo() {
        Node frozen = startNodesAndFreezeAHub();
        Node standIn = nodes.values().stream()
                .filter(n -> n.zone.equals(frozen.zone) && n != frozen && n.exchange.isHub())
                .max(Comparator.comparing(n -> n.becameOwnerNanos))
                .get();
        standIn.lease.update(1, Set.of(3), Stopwatch.start(clock));
        frozen.silent = false;
        while (standIn.owner) {
            standIn.lease.recordOrder(3);
            clock.advance(Duration.ofMillis(100));
        }
        clock.advance(Duration.ofMillis(2 * PeerTable.STATUS_INTERVAL_MS));
        Node other = nodes.values().stream()
                .filter(n -> n.exchange.isHub() && !n.zone.equals(standIn.zone))
                .findFirst()
                .get();
        assertThat(other.peers.mayStillOrder(3, 2)).isTrue();
        clock.advance(Duration.ofSeconds(5));
        assertThat(other.peers.mayStillOrder(3, 2)).isFalse();
    }

    /** The view that all members get includes their own loads as the hub knew them, which may have changed since. */
    @Test
    void memberNeverCountsItsOwnRequestsTwiceOrDropsThem() {
        startNodes(95);
        clock.advance(Duration.ofSeconds(20));
        Node member = members().get(0);
        int requests = 0;
        for (int step = 0; step < 200; step++) {
            boolean ends = requests > 0 && step % 3 == 0;
            if (ends) {
                member.loads.requestEnded(ENDPOINT, 10);
            } else {
                member.loads.requestStarted(ENDPOINT, 10);
            }
            requests += ends ? -1 : 1;
            clock.advance(Duration.ofMillis(37));
            assertThat(member.loads.total(ENDPOINT)).isEqualTo(new EndpointLoads.Load(requests, 10L * requests));
        }
    }

    /** Unchanged parts are left out of most views, so a member that has missed a change must get it again. */
    @Test
    void membersThatMissedAViewKnowItsChangesTwoIntervalsLater() {
        startNodes(95);
        clock.advance(Duration.ofSeconds(20));
        nodes.get(hubsUp().iterator().next()).lease.update(1, Set.of(3), Stopwatch.start(clock));
        // The views of the round in which every hub has heard of the new owner.
        clock.advance(Duration.ofMillis(PeerTable.STATUS_INTERVAL_MS));
        viewsAreLost = true;
        clock.advance(Duration.ofMillis(2 * PeerTable.STATUS_INTERVAL_MS));
        viewsAreLost = false;
        clock.advance(Duration.ofMillis(3 * PeerTable.STATUS_INTERVAL_MS));
        assertThat(members()).allSatisfy(n -> assertThat(n.peers.ownerOf(3)).isNotNull());
    }

    @Test
    void memberThatChangesItsHubKnowsTheOwnersOfTheNewOne() {
        startNodes(95);
        clock.advance(Duration.ofSeconds(20));
        Node member = members().get(0);
        Node hub = nodes.get(member.exchange.reportsTo());
        Node owner = nodes.values().stream()
                .filter(n -> n.exchange.isHub() && !n.zone.equals(hub.zone))
                .findFirst()
                .get();
        hub.silent = true;
        owner.lease.update(1, Set.of(3), Stopwatch.start(clock));
        while (hub.address.equals(member.exchange.reportsTo())) {
            clock.advance(Duration.ofMillis(10));
        }
        clock.advance(Duration.ofMillis(2 * PeerTable.STATUS_INTERVAL_MS));
        assertThat(member.peers.ownerOf(3)).isEqualTo(owner.address);
        nodes.values().forEach(n -> n.loads.requestStarted(ENDPOINT, 10));
        clock.advance(Duration.ofMillis(3 * PeerTable.STATUS_INTERVAL_MS + 10));
        assertThat(member.loads.total(ENDPOINT)).isEqualTo(new EndpointLoads.Load(94, 940));
    }

    /**
     * During an upgrade, hubs and members of the version without numbers of statuses and views run beside newer ones.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 1})
    void nodesOfAnOlderVersionAndNewerOnesKnowTheSame(int remainder) {
        olderRemainder = remainder;
        startNodes(95);
        clock.advance(Duration.ofSeconds(20));
        Node owner = nodes.get(hubsUp().iterator().next());
        owner.lease.update(1, Set.of(3), Stopwatch.start(clock));
        nodes.values().forEach(n -> n.loads.requestStarted(ENDPOINT, 10));
        clock.advance(Duration.ofMillis(3 * PeerTable.STATUS_INTERVAL_MS + 10));
        assertThat(nodes.values()).allSatisfy(n -> {
            assertThat(n.loads.total(ENDPOINT)).isEqualTo(new EndpointLoads.Load(95, 950));
            assertThat(n.peers.nodes()).hasSize(94);
            assertThat(n == owner ? owner.address : n.peers.ownerOf(3)).isEqualTo(owner.address);
        });
    }

    private List<Node> members() {
        return nodes.values().stream().filter(n -> !n.exchange.isHub()).toList();
    }

    /** Starts 95 nodes, and silences a hub for long enough that another node stands in for it. */
    private Node startNodesAndFreezeAHub() {
        startNodes(95);
        clock.advance(Duration.ofSeconds(20));
        Node frozen = nodes.values().stream()
                .filter(n -> n.exchange.isHub())
                .findFirst()
                .get();
        frozen.silent = true;
        clock.advance(Duration.ofSeconds(4));
        return frozen;
    }

    private Set<String> hubsUp() {
        return nodes.values().stream()
                .filter(n -> n.exchange.isHub() && !n.silent)
                .map(n -> n.address)
                .collect(Collectors.toSet());
    }

    /** A node with its own tables; a silent one neither sends nor receives. */
    private final class Node implements StatusExchange.Network {
        private final String address;
        private final String zone;
        private final EndpointLoads loads = new EndpointLoads();
        private final PeerTable peers;
        private final AssignmentLease lease;
        private final StatusExchange exchange;
        private Set<String> targets = Set.of();
        private boolean silent;
        /** Whether the node sends and understands messages without the components that were appended later. */
        private boolean older;

        private boolean owner;
        private long becameOwnerNanos;

        Node(String address, String zone, int capacity) {
            this.address = address;
            this.zone = zone;
            peers = new PeerTable(clock, address, Set.of("10.0.0.0:1", "10.0.0.1:1"));
            lease = new AssignmentLease(clock, true, 3_000, 24, peers);
            StatusExchange.Components components = new StatusExchange.Components(
                    peers,
                    loads,
                    new AdapterUsage(clock),
                    new ResidencyTable(clock),
                    lease,
                    new AssignedEngines(lease, e -> null),
                    new LoadTimeEstimator(clock, () -> 0, () -> 1),
                    (code, subject, fields) -> {});
            StatusExchange.LocalNode local = new StatusExchange.LocalNode(
                    address, address, zone, capacity, () -> true, () -> false, Map::of, this::setOwner);
            exchange = new StatusExchange(clock, components, local, this);
        }

        private void setOwner(boolean mayOwn) {
            owner = mayOwn;
            becameOwnerNanos = clock.nanoTime();
            if (!mayOwn) {
                lease.release();
            }
        }

        @Override
        public void setTargets(Set<String> all) {
            targets = new HashSet<>(all);
        }

        @Override
        public boolean send(String peer, PeerMessage m) {
            Node to = nodes.get(peer);
            boolean connected = to != null && (targets.contains(peer) || to.targets.contains(address));
            if (!connected || silent || to.silent) {
                return connected && to != null;
            }
            messages++;
            if (!viewsAreLost || !(m instanceof PeerMessage.View)) {
                PeerMessage sent = older || to.older ? withoutAppendedComponents(m) : m;
                clock.schedule(Duration.ofMillis(1), () -> to.receive(sent));
            }
            return true;
        }

        private static PeerMessage withoutAppendedComponents(PeerMessage m) {
            if (m instanceof PeerMessage.Status s) {
                return new PeerMessage.Status(
                        s.node(),
                        s.generation(),
                        s.duties(),
                        s.ordered(),
                        s.loads(),
                        s.inUse(),
                        s.holdings(),
                        s.members(),
                        s.hubs(),
                        s.loading(),
                        0,
                        0);
            }
            PeerMessage.View v = (PeerMessage.View) m;
            // The older version copies the map of the owners.
            assertThat(v.owners()).isNotNull();
            return new PeerMessage.View(
                    v.from(),
                    v.nodes(),
                    v.owners(),
                    v.loads(),
                    v.inUseCounts(),
                    v.popular(),
                    v.holdings(),
                    v.records(),
                    null,
                    0,
                    false);
        }

        private void receive(PeerMessage m) {
            if (m instanceof PeerMessage.Status s) {
                exchange.onStatus(s);
            } else if (m instanceof PeerMessage.View v) {
                exchange.onView(v);
            }
        }
    }
}
