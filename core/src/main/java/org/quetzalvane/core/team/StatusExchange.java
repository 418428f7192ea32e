package org.quetzalvane.core.team;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.quetzalvane.core.choice.EndpointLoads;
import org.quetzalvane.core.event.EventCode;
import org.quetzalvane.core.event.StructuredLog;
import org.quetzalvane.core.residency.AdapterUsage;
import org.quetzalvane.core.residency.LoadTimeEstimator;
import org.quetzalvane.core.residency.ResidencyTable;
import org.quetzalvane.core.time.Scheduler;

/**
 * Exchanges status messages with the other nodes, as a hub or as a member that reports to one; {@link HubSelector}
 * decides which.
 *
 * <p>A hub sends its status, which includes its members, to all hubs, and a view of what it knows to each member. A
 * node serves every node that reports to it, also if it does not consider itself a hub. A member whose hub is silent
 * reports to the next one; a node that knows no other hub becomes one. A hub that is no longer selected gives up its
 * engines first and stays a hub until no owner that follows it has to wait for its orders. Confined to the event loop.
 */
public final class StatusExchange {
    /** Time for which a starting node looks for others before it becomes a hub, ms: two connects and a status. */
    private static final long DISCOVERY_MS = 1_500;
    /**
     * Time for which a hub stays one after it was last selected, ms: a restart of the hub that it stands in for must
     * not move the engines twice.
     */
    private static final long DEMOTION_DELAY_MS = 10_000;

    private final Scheduler scheduler;
    private final Components components;
    private final LocalNode local;
    private final Network network;
    private long startNanos;
    private boolean settled;
    private boolean hub;
    private boolean owner;
    private String reportsTo;
    private long reportsToSinceNanos;
    private long selectedNanos;
    private long ownerUntilNanos;
    private String viewFrom;
    /** Number of the last view of the own hub that was applied without a gap, or 0. */
    private long viewNumber;

    private final ReportedLoads reportedLoads;
    private final ViewPublisher views;

    /** Connections to the peers. */
    public interface Network {
        /** Sets the peers to keep connections to. */
        void setTargets(Set<String> peers);

        /** Sends a message; returns false if there is no connection. */
        boolean send(String peer, PeerMessage message);

        /** Sends a message to several peers; those without a connection do not get it. */
        default void sendAll(Collection<String> peers, PeerMessage message) {
            peers.forEach(p -> send(p, message));
        }
    }

    /**
     * What the exchange reads of this node.
     *
     * @param address address for peers, IP:PORT
     * @param callerAddress address for callers, IP:PORT
     * @param zone data centre
     * @param capacity see {@link NodeInfo}
     * @param ready whether the node serves
     * @param leaving whether the node drains
     * @param positions how far the node has read each topic of the store
     * @param ownerRole called with true when the node may own engines from now on, with false when it must give them up
     */
    public record LocalNode(
            String address,
            String callerAddress,
            String zone,
            int capacity,
            BooleanSupplier ready,
            BooleanSupplier leaving,
            Supplier<Map<String, PeerMessage.TopicPosition>> positions,
            Consumer<Boolean> ownerRole) {}

    /**
     * State that is reported and updated; shared with the request path and the engine controllers.
     *
     * @param peers the other nodes
     * @param endpointLoads endpoint load of each endpoint
     * @param adapterUsage adapters in use
     * @param residency adapters resident on each engine
     * @param lease partitions assigned to this node
     * @param assignedEngines engines that this node owns
     * @param loadTimes loads from the weight store
     * @param log structured log
     */
    public record Components(
            PeerTable peers,
            EndpointLoads endpointLoads,
            AdapterUsage adapterUsage,
            ResidencyTable residency,
            AssignmentLease lease,
            AssignedEngines assignedEngines,
            LoadTimeEstimator loadTimes,
            StructuredLog log) {}

    /** Creates the exchange of a node that knows no other one. */
    public StatusExchange(Scheduler scheduler, Components components, LocalNode local, Network network) {
        this.scheduler = scheduler;
        this.components = components;
        this.local = local;
        this.network = network;
        this.reportedLoads = new ReportedLoads(scheduler.wallMillis());
        this.views = new ViewPublisher(components, local, network, scheduler.wallMillis());
    }

    /** Starts the exchange, which runs every {@link PeerTable#STATUS_INTERVAL_MS} from now on. */
    public void start() {
        startNanos = scheduler.nanoTime();
        scheduler.repeat(Duration.ofMillis(PeerTable.STATUS_INTERVAL_MS), this::run);
        run();
    }

    /**
     * Makes this node a hub before it knows others, because it was one in an earlier run of its process and still owns
     * engines; it stays one for as long as a hub that is no longer selected.
     */
    public void resumeHub() {
        if (!local.leaving().getAsBoolean()) {
            becomeHub(scheduler.nanoTime());
        }
    }

    /**
     * Sends the status of this node, whose engines have changed, to the other hubs ahead of the next round. Members
     * wait for the next view: one between two rounds would show an age of the store's records that makes them read the
     * store.
     */
    public void announceEngines() {
        network.sendAll(statusReceivers(), status());
    }

    /** Sends the status of this node to a peer that has just connected, if it reports to that peer. */
    public void onConnect(String peer) {
        if (statusReceivers().contains(peer)) {
            network.send(peer, status());
        }
    }

    /** Whether this node is a hub. */
    public boolean isHub() {
        return hub;
    }

    /** The hub that this node reports to, or null if it is a hub or knows none. */
    public String reportsTo() {
        return reportsTo;
    }

    /** One round: updates the role of this node, its connections and the residency of its engines; sends messages. */
    public void run() {
        components.peers().removeSilent().forEach(this::forget);
        updateRole();
        network.setTargets(targets());
        components.assignedEngines().residencies().forEach(components.residency()::update);
        network.sendAll(statusReceivers(), status());
        views.publish(self());
    }

    /** Processes the status of a peer. */
    public void onStatus(PeerMessage.Status s) {
        components.peers().updatePeer(s);
        components.endpointLoads().updatePeer(s.from(), s.loads());
        components.adapterUsage().updatePeer(s.from(), s.inUse());
        s.holdings().forEach(components.residency()::update);
    }

    /** Processes a view; one of a node that this node does not report to only makes nodes known. */
    public void onView(PeerMessage.View v) {
        boolean ownHub = v.from().equals(reportsTo);
        if (ownHub || !settled) {
            components.peers().updateView(v);
        }
        if (!ownHub) {
            return;
        }
        if (viewFrom != null && !viewFrom.equals(v.from())) {
            components.endpointLoads().removePeer(viewFrom);
        }
        viewFrom = v.from();
        reportsToSinceNanos = scheduler.nanoTime();
        boolean next = viewNumber != 0 && v.number() == viewNumber + 1;
        viewNumber = v.complete() || next ? v.number() : 0;
        Map<String, EndpointLoads.Load> loads = reportedLoads.loadsOfOthers(v, local.address());
        if (loads != null) {
            components.endpointLoads().updatePeer(viewFrom, loads);
        }
        components.adapterUsage().updateReported(v.inUseCounts(), v.popular());
        v.holdings().forEach(components.residency()::update);
    }

    /** Drops what a peer reported whose connection ended. */
    public void onDisconnect(String peer) {
        components.peers().disconnected(peer);
        forget(peer);
        if (peer.equals(reportsTo)) {
            leaveHub("connection lost");
        }
    }

    private void forget(String peer) {
        components.endpointLoads().removePeer(peer);
        components.adapterUsage().removePeer(peer);
    }

    private void updateRole() {
        long now = scheduler.nanoTime();
        settled = settled
                || components.peers().knowsAnyNode()
                || components.peers().contacts().isEmpty()
                || now - startNanos >= DISCOVERY_MS * 1_000_000;
        if (!settled) {
            return;
        }
        if (reportsTo != null && now - reportsToSinceNanos > PeerTable.UP_TIMEOUT_MS * 1_000_000) {
            leaveHub("silent");
        }
        List<NodeInfo> all = new ArrayList<>(components.peers().nodes());
        all.add(self());
        Set<String> hubs = HubSelector.hubs(all, local.zone());
        if (hubs.contains(local.address()) || hubs.isEmpty() || local.leaving().getAsBoolean() && hub) {
            becomeHub(now);
        } else if (hub) {
            stepDown(now);
        }
        if (!hub) {
            reportTo(HubSelector.hubOf(local.address(), hubs), now);
        }
    }

    private void becomeHub(long now) {
        selectedNanos = now;
        if (!hub) {
            hub = true;
            reportTo(null, now);
            components.log().log(EventCode.HUB_CHANGED, local.address(), "hub", true);
        }
        if (!owner && !local.leaving().getAsBoolean()) {
            owner = true;
            local.ownerRole().accept(true);
        }
    }

    /** Gives up the engines, and ends the role one lease after the last order, so that new owners know of it. */
    private void stepDown(long now) {
        if (now - selectedNanos < DEMOTION_DELAY_MS * 1_000_000) {
            return;
        }
        if (owner) {
            owner = false;
            ownerUntilNanos = now;
            local.ownerRole().accept(false);
        } else if (now - ownerUntilNanos > PeerTable.UP_TIMEOUT_MS * 1_000_000
                && components.lease().recentlyOrdered().isEmpty()) {
            hub = false;
            components.log().log(EventCode.HUB_CHANGED, local.address(), "hub", false);
        }
    }

    private void reportTo(String peer, long now) {
        if (peer == null && viewFrom != null) {
            components.endpointLoads().removePeer(viewFrom);
            components.adapterUsage().updateReported(Map.of(), List.of());
            viewFrom = null;
        }
        if (!Objects.equals(peer, reportsTo)) {
            viewNumber = 0;
        }
        if (peer != null && !peer.equals(reportsTo)) {
            reportsToSinceNanos = now;
            components.log().log(EventCode.HUB_CHANGED, local.address(), "hub", false, "reports_to", peer);
        }
        reportsTo = peer;
    }

    private void leaveHub(String cause) {
        components.log().log(EventCode.PEER_LOST, reportsTo, "role", "hub", "cause", cause);
        components.peers().suspect(reportsTo);
        reportsTo = null;
        viewNumber = 0;
    }

    /** Peers to keep connections to: all hubs, which own the engines, and those through which others are found. */
    private Set<String> targets() {
        Set<String> targets = new HashSet<>();
        Set<String> known = new HashSet<>();
        for (NodeInfo n : components.peers().nodes()) {
            known.add(n.address());
            if (n.hub()) {
                targets.add(n.address());
            }
        }
        components.peers().contacts().stream().filter(c -> !known.contains(c)).forEach(targets::add);
        if (reportsTo != null) {
            targets.add(reportsTo);
        }
        return targets;
    }

    /** Hubs and nodes that do not report get the status of a hub; a member reports to its hub only. */
    private Set<String> statusReceivers() {
        return hub || reportsTo == null ? targets() : Set.of(reportsTo);
    }

    /** This node as its peers know it. */
    public NodeInfo self() {
        return new NodeInfo(
                local.address(),
                local.callerAddress(),
                local.zone(),
                local.capacity(),
                hub,
                local.ready().getAsBoolean(),
                local.leaving().getAsBoolean());
    }

    private PeerMessage.Status status() {
        List<NodeInfo> members = components.peers().members();
        List<String> reporting = members.stream().map(NodeInfo::address).toList();
        AssignmentLease lease = components.lease();
        Map<String, EndpointLoads.Load> loads = components.endpointLoads().sum(reporting);
        return new PeerMessage.Status(
                self(),
                lease.generation(),
                List.copyOf(lease.owned()),
                List.copyOf(lease.recentlyOrdered()),
                loads,
                components.adapterUsage().inUseBy(reporting),
                components.assignedEngines().residencies(),
                members,
                components.peers().hubs(),
                components.loadTimes().loadsInFlight(),
                reportedLoads.add(loads),
                viewNumber);
    }
}
