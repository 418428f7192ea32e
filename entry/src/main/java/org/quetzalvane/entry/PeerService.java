package org.quetzalvane.entry;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.quetzalvane.core.choice.EndpointLoads;
import org.quetzalvane.core.event.EventCode;
import org.quetzalvane.core.event.StructuredLog;
import org.quetzalvane.core.fleet.Endpoint;
import org.quetzalvane.core.residency.AdapterLoader;
import org.quetzalvane.core.residency.AdapterUsage;
import org.quetzalvane.core.residency.EngineController;
import org.quetzalvane.core.residency.EngineResidency;
import org.quetzalvane.core.residency.LoadRequest;
import org.quetzalvane.core.residency.LoadTimeEstimator;
import org.quetzalvane.core.residency.ResidencyTable;
import org.quetzalvane.core.routes.AdapterRef;
import org.quetzalvane.core.store.StoreRecord;
import org.quetzalvane.core.team.AssignedEngines;
import org.quetzalvane.core.team.AssignmentLease;
import org.quetzalvane.core.team.PeerMessage;
import org.quetzalvane.core.team.PeerTable;
import org.quetzalvane.core.time.Scheduler;
import org.quetzalvane.transport.PeerTransport;

/**
 * Exchanges status messages and load requests with the peers: sends this node's status at a fixed interval, processes
 * the status of the peers, and routes each load request to the owner of the engine. Confined to the event loop.
 */
final class PeerService implements AdapterLoader {
    /** Added to the wait of a load request for the network round trip to the owner, ms. */
    private static final long ROUND_TRIP_MS = 20;

    private final Scheduler scheduler;
    private final StructuredLog log;
    private final PeerTable peers;
    private final EndpointLoads endpointLoads;
    private final AdapterUsage adapterUsage;
    private final ResidencyTable residency;
    private final AssignmentLease lease;
    private final AssignedEngines assignedEngines;
    private final LoadTimeEstimator loadTimes;
    private final LocalNode local;
    private final PeerCodec codec = new PeerCodec();
    private final Map<Long, Consumer<Outcome>> pendingLoads = new HashMap<>();
    private PeerTransport transport;
    private long lastLoadNumber;

    /**
     * What the peer service reads of this node, and the consumer of the records that peers send.
     *
     * @param address address for peers, IP:PORT
     * @param callerAddress address for callers, IP:PORT
     * @param zone data centre
     * @param ready whether the node serves
     * @param leaving whether the node drains
     * @param records known records by topic name, for peers that cannot reach the store
     * @param recordsConsumer takes the records of one topic that a peer sent
     */
    record LocalNode(
            String address,
            String callerAddress,
            String zone,
            BooleanSupplier ready,
            BooleanSupplier leaving,
            Supplier<Map<String, List<StoreRecord>>> records,
            Consumer<PeerMessage.Records> recordsConsumer) {}

    /** Components shared with the request path and the engine controllers. */
    record Components(
            PeerTable peers,
            EndpointLoads endpointLoads,
            AdapterUsage adapterUsage,
            ResidencyTable residency,
            AssignmentLease lease,
            AssignedEngines assignedEngines,
            LoadTimeEstimator loadTimes,
            StructuredLog log) {}

    PeerService(Scheduler scheduler, Components components, LocalNode local) {
        this.scheduler = scheduler;
        this.log = components.log();
        this.peers = components.peers();
        this.endpointLoads = components.endpointLoads();
        this.adapterUsage = components.adapterUsage();
        this.residency = components.residency();
        this.lease = components.lease();
        this.assignedEngines = components.assignedEngines();
        this.loadTimes = components.loadTimes();
        this.local = local;
    }

    void start(PeerTransport peerTransport) {
        transport = peerTransport;
        scheduler.repeat(Duration.ofMillis(PeerTable.STATUS_INTERVAL_MS), this::sendStatus);
        sendStatus();
    }

    /**
     * Updates the peer connections and the known residency of the own engines, and sends this node's status to all
     * peers. Runs at the regular interval and whenever the status has to be sent at once.
     */
    void sendStatus() {
        transport.setTargets(peers.connectTargets());
        assignedEngines.residencies().forEach(residency::update);
        PeerMessage.Status s = status();
        peers.connectTargets().forEach(p -> send(p, s));
    }

    /** Requests the known records of every reachable peer. */
    void requestRecords() {
        peers.connectTargets().forEach(p -> send(p, new PeerMessage.RecordsRequest(local.address())));
    }

    @Override
    public void load(Endpoint engine, LoadRequest request, Consumer<Outcome> done) {
        EngineController controller = assignedEngines.find(engine.id());
        if (controller != null) {
            controller.request(request, ok -> {
                EngineResidency reported = controller.residency();
                if (ok && reported != null) {
                    residency.update(engine.id(), reported);
                }
                done.accept(outcome(ok));
            });
            return;
        }
        String owner = peers.ownerOf(lease.partitionOf(engine.id()));
        long n = ++lastLoadNumber;
        boolean sent = owner != null
                && send(owner, new PeerMessage.AdapterLoadRequest(local.address(), n, engine.id(), request));
        if (!sent) {
            log.log(
                    EventCode.LOAD_FAILED,
                    engine.id(),
                    "adapter",
                    request.adapter(),
                    "holder",
                    owner,
                    "cause",
                    "no reachable owner");
            scheduler.schedule(Duration.ZERO, () -> done.accept(Outcome.NO_OWNER));
            return;
        }
        pendingLoads.put(n, done);
        scheduler.schedule(
                Duration.ofMillis(request.waitMs() + ROUND_TRIP_MS), () -> completeLoad(n, Outcome.NO_OWNER));
    }

    @Override
    public boolean hasOwner(Endpoint engine) {
        return assignedEngines.find(engine.id()) != null || peers.ownerOf(lease.partitionOf(engine.id())) != null;
    }

    /**
     * Processes a frame that a peer sent. A frame of an unknown type is ignored; one that cannot be decoded is logged.
     */
    void receive(byte[] frame) {
        PeerMessage m;
        try {
            m = codec.decode(frame);
        } catch (IOException e) {
            log.log(EventCode.BAD_INPUT, "peer", "cause", e.getMessage());
            return;
        }
        if (m instanceof PeerMessage.Status s) {
            handleStatus(s);
        } else if (m instanceof PeerMessage.AdapterLoadRequest a) {
            handleLoadRequest(a);
        } else if (m instanceof PeerMessage.AdapterLoadReply r) {
            completeLoad(r.number(), outcome(r.loaded()));
        } else if (m instanceof PeerMessage.RecordsRequest a) {
            local.records()
                    .get()
                    .forEach((topic, records) ->
                            send(a.from(), new PeerMessage.Records(local.address(), topic, records)));
        } else if (m instanceof PeerMessage.Records r) {
            local.recordsConsumer().accept(r);
        }
    }

    /** Called when the connection to a peer is made or lost. Status, loads and usage of a lost peer are dropped. */
    void connectionChanged(String peer, boolean connected) {
        if (!connected) {
            log.log(EventCode.PEER_LOST, peer);
            peers.disconnected(peer);
            endpointLoads.removePeer(peer);
            adapterUsage.removePeer(peer);
        }
    }

    private PeerMessage.Status status() {
        Map<String, List<AdapterRef>> inUse = new HashMap<>();
        adapterUsage.own().forEach((engine, refs) -> inUse.put(engine, List.copyOf(refs)));
        List<String> members = new ArrayList<>();
        peers.up().forEach(p -> members.add(p.from()));
        return new PeerMessage.Status(
                local.address(),
                local.callerAddress(),
                local.zone(),
                local.ready().getAsBoolean(),
                local.leaving().getAsBoolean(),
                lease.generation(),
                List.copyOf(lease.owned()),
                List.copyOf(lease.recentlyOrdered()),
                endpointLoads.own(),
                inUse,
                assignedEngines.residencies(),
                members,
                loadTimes.loadsInFlight());
    }

    private void handleStatus(PeerMessage.Status s) {
        peers.updatePeer(s);
        endpointLoads.updatePeer(s.from(), s.loads());
        Map<String, Set<AdapterRef>> inUse = new HashMap<>();
        s.inUse().forEach((engine, refs) -> inUse.put(engine, new HashSet<>(refs)));
        adapterUsage.updatePeer(s.from(), inUse);
        s.holdings().forEach(residency::update);
    }

    private void handleLoadRequest(PeerMessage.AdapterLoadRequest a) {
        EngineController controller = assignedEngines.find(a.engine());
        Consumer<Boolean> reply =
                ok -> send(a.from(), new PeerMessage.AdapterLoadReply(local.address(), a.number(), ok));
        if (controller == null) {
            reply.accept(false);
        } else {
            controller.request(a.wish(), reply);
        }
    }

    private void completeLoad(long n, Outcome outcome) {
        Consumer<Outcome> done = pendingLoads.remove(n);
        if (done != null) {
            done.accept(outcome);
        }
    }

    private static Outcome outcome(boolean loaded) {
        return loaded ? Outcome.RESIDENT : Outcome.REFUSED;
    }

    private boolean send(String peer, PeerMessage m) {
        try {
            return transport.send(peer, codec.encode(m));
        } catch (IOException e) {
            log.log(EventCode.TASK_FAILED, peer, "cause", e.getMessage());
            return false;
        }
    }
}
