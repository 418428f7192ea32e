package org.quetzalvane.entry;

import java.io.IOException;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;

import org.quetzalvane.core.event.EventCode;
import org.quetzalvane.core.event.StructuredLog;
import org.quetzalvane.core.fleet.Endpoint;
import org.quetzalvane.core.limit.QuotaBounds;
import org.quetzalvane.core.quarantine.PromptQuarantine;
import org.quetzalvane.core.residency.AdapterLoader;
import org.quetzalvane.core.residency.EngineController;
import org.quetzalvane.core.residency.EngineResidency;
import org.quetzalvane.core.residency.LoadRequest;
import org.quetzalvane.core.routes.AccountTable;
import org.quetzalvane.core.routes.ClientAccount;
import org.quetzalvane.core.routes.ServingConfig;
import org.quetzalvane.core.store.PeerRecords;
import org.quetzalvane.core.store.RecordFollower;
import org.quetzalvane.core.store.StoreRecord;
import org.quetzalvane.core.team.AllowanceExchange;
import org.quetzalvane.core.team.HubLinks;
import org.quetzalvane.core.team.NodeInfo;
import org.quetzalvane.core.team.PeerMessage;
import org.quetzalvane.core.team.PermitExchange;
import org.quetzalvane.core.team.QuarantineExchange;
import org.quetzalvane.core.team.RecordPublisher;
import org.quetzalvane.core.team.RecordRelay;
import org.quetzalvane.core.team.StartupRecords;
import org.quetzalvane.core.team.StatusExchange;
import org.quetzalvane.core.team.StreamOriginTable;
import org.quetzalvane.core.time.Scheduler;
import org.quetzalvane.transport.PeerTransport;

/**
 * Passes the messages of the peers to the status exchange, the owners' load requests to the engine controllers, and the
 * store's records to and from the hub. Confined to the event loop.
 */
final class PeerService implements AdapterLoader, StatusExchange.Network {
    /** Added to the wait of a load request for the network round trip to the owner, ms. */
    private static final long ROUND_TRIP_MS = 20;

    private final Scheduler scheduler;
    private final StructuredLog log;
    private final StatusExchange.Components components;
    private final StatusExchange exchange;
    private final String address;
    private final RecordAccess records;
    private final StartupRecords startupRecords;
    private final RecordRelay relay;
    private final RecordPublisher publisher;
    private final StreamOriginTable streamOrigins;
    private final QuarantineExchange quarantine;
    private final PermitExchange permits;
    private final AllowanceExchange allowances;
    private final Predicate<PeerMessage.EndpointLeaving> endpointLeaving;
    private final PeerCodec codec = new PeerCodec();
    private final Map<Long, Consumer<Outcome>> pendingLoads = new HashMap<>();
    private PeerTransport transport;
    private long lastLoadNumber;

    /**
     * The records of the store that this node knows.
     *
     * @param known known records by topic name, for peers that do not read the store
     * @param followers follower of each topic, by its name in the messages between nodes
     * @param leaving start of each instance that said that it leaves, by endpoint
     */
    record RecordAccess(
            Supplier<Map<String, PeerRecords>> known,
            Map<String, RecordFollower> followers,
            Supplier<Map<String, Long>> leaving) {}

    /**
     * Creates the service.
     *
     * @param endpointLeaving marks an endpoint as leaving; returns whether this is news
     * @param quota bound of the allowances of accounts
     */
    PeerService(
            Scheduler scheduler,
            StatusExchange.Components components,
            StatusExchange.LocalNode local,
            RecordAccess records,
            RecordRelay relay,
            Predicate<PeerMessage.EndpointLeaving> endpointLeaving,
            QuotaBounds quota) {
        this.endpointLeaving = endpointLeaving;
        this.scheduler = scheduler;
        this.components = components;
        this.log = components.log();
        this.address = local.address();
        this.records = records;
        this.relay = relay;
        this.publisher = new RecordPublisher(address);
        this.startupRecords =
                new StartupRecords(scheduler, records.followers(), this::recordSources, this::requestRecords);
        this.exchange = new StatusExchange(scheduler, components, local, this);
        this.streamOrigins = new StreamOriginTable(scheduler, address, components.peers()::knownHubs, this::send);
        HubLinks links =
                new HubLinks(address, this::isHub, components.peers()::knownHubs, this::memberAddresses, this::send);
        this.quarantine = new QuarantineExchange(scheduler, log, links);
        IntSupplier nodes = () -> components.peers().nodes().size() + 1;
        this.permits = new PermitExchange(scheduler, log, links, nodes);
        this.allowances = new AllowanceExchange(scheduler, log, links, nodes, quota);
    }

    /** Sets the connections to peers; to be called before they listen, since messages are answered from then on. */
    void setTransport(PeerTransport peerTransport) {
        transport = peerTransport;
    }

    void start() {
        exchange.start();
        startupRecords.start();
        quarantine.start();
        permits.start();
        allowances.start();
    }

    /** This node as its peers know it. */
    NodeInfo self() {
        return exchange.self();
    }

    /** Software versions that streams come from, shared with the peers. */
    StreamOriginTable streamOrigins() {
        return streamOrigins;
    }

    /** Quarantine of requests that crash endpoints, shared with the peers. */
    PromptQuarantine quarantine() {
        return quarantine.local();
    }

    /** Permits for endpoints that named a limit, shared with the peers. */
    PermitExchange permits() {
        return permits;
    }

    /** Allowances of client accounts, shared with the peers. */
    AllowanceExchange allowances() {
        return allowances;
    }

    /** Applies the allowances of the configuration in force. */
    void configureAllowances(ServingConfig config) {
        List<ClientAccount> accounts =
                config.accounts().map(AccountTable::accounts).orElse(List.of());
        allowances.configure(config.version(), accounts);
    }

    /** Whether this node is a hub. */
    boolean isHub() {
        return exchange.isHub();
    }

    /** Makes this node a hub at once, because the store's group still lists it as an owner of engines. */
    void resumeHub() {
        exchange.resumeHub();
    }

    /** Tells the other hubs that this node owns other engines than before. */
    void announceEngines() {
        exchange.announceEngines();
    }

    /** Sends this node's status ahead of the regular interval. */
    void sendStatus() {
        exchange.run();
    }

    private boolean requestRecords(String peer) {
        return send(peer, new PeerMessage.RecordsRequest(address));
    }

    /** Peers to ask for records: all contacts but those known to have them from a hub. */
    private Set<String> recordSources() {
        Set<String> sources = components.peers().contacts();
        components.peers().nodes().stream().filter(n -> !n.hub()).forEach(n -> sources.remove(n.address()));
        return sources;
    }

    /** Tells the hubs, and the nodes that report to this one, that an endpoint leaves. */
    void announceLeaving(Endpoint e) {
        PeerMessage.EndpointLeaving m = new PeerMessage.EndpointLeaving(address, e.id(), e.bornMs());
        sendAll(components.peers().knownHubs(), m);
        sendToMembers(m);
    }

    private void sendToMembers(PeerMessage m) {
        sendAll(memberAddresses(), m);
    }

    private List<String> memberAddresses() {
        return components.peers().members().stream().map(NodeInfo::address).toList();
    }

    /** Passes records that were just applied on to the nodes that report to this one. */
    void relayRecords(String topic, List<StoreRecord> applied) {
        sendToMembers(publisher.publish(topic, applied));
    }

    @Override
    public void setTargets(Set<String> peers) {
        transport.setTargets(peers);
    }

    @Override
    public void load(Endpoint engine, LoadRequest request, Consumer<Outcome> done) {
        EngineController controller = components.assignedEngines().find(engine.id());
        if (controller != null) {
            controller.request(request, ok -> {
                EngineResidency reported = controller.residency();
                if (ok && reported != null) {
                    components.residency().update(engine.id(), reported);
                }
                finishLoad(engine, outcome(ok, !controller.isReachable()), done);
            });
            return;
        }
        String owner = ownerOf(engine);
        long n = ++lastLoadNumber;
        boolean sent =
                owner != null && send(owner, new PeerMessage.AdapterLoadRequest(address, n, engine.id(), request));
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
        pendingLoads.put(n, outcome -> finishLoad(engine, outcome, done));
        scheduler.schedule(
                Duration.ofMillis(request.waitMs() + ROUND_TRIP_MS), () -> completeLoad(n, Outcome.NO_OWNER));
    }

    @Override
    public boolean hasOwner(Endpoint engine) {
        return components.assignedEngines().find(engine.id()) != null || ownerOf(engine) != null;
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
            exchange.onStatus(s);
        } else if (m instanceof PeerMessage.View v) {
            handleView(v);
        } else if (m instanceof PeerMessage.AdapterLoadRequest a) {
            handleLoadRequest(a);
        } else if (m instanceof PeerMessage.AdapterLoadReply r) {
            completeLoad(r.number(), outcome(r.loaded(), r.unreachable()));
        } else if (m instanceof PeerMessage.RecordsRequest a) {
            sendRecords(a.from());
        } else if (m instanceof PeerMessage.EndpointLeaving l) {
            if (endpointLeaving.test(l)) {
                sendToMembers(l);
            }
        } else if (m instanceof PeerMessage.EndpointLeavingRequest r) {
            sendLeaving(r.from());
        } else if (m instanceof PeerMessage.StreamOrigins o) {
            streamOrigins.onOrigins(o);
        } else if (m instanceof PeerMessage.StreamOriginRequest r) {
            streamOrigins.onRequest(r);
        } else if (m instanceof PeerMessage.StreamOriginReply r) {
            streamOrigins.onReply(r);
        } else if (m instanceof PeerMessage.Records r) {
            receiveRecords(r);
        } else if (m != null && !quarantine.receive(m) && !permits.receive(m)) {
            allowances.receive(m);
        }
    }

    private void receiveRecords(PeerMessage.Records r) {
        if (!r.complete()) {
            relay.onPassedOn(r.topic(), r.endOffset());
        }
        startupRecords.onRecords(r, relay.hubHearsStore(r.from(), r.topic()));
        if (r.complete()) {
            relay.onRecords(r.from(), r.topic());
        }
    }

    /** Called when the connection to a peer is made or lost. Status, loads and usage of a lost peer are dropped. */
    void connectionChanged(String peer, boolean connected) {
        if (connected) {
            exchange.onConnect(peer);
            sendLeaving(peer);
            send(peer, new PeerMessage.EndpointLeavingRequest(address));
            quarantine.peerConnected(peer);
            permits.peerConnected(peer);
        } else {
            log.log(EventCode.PEER_LOST, peer);
            exchange.onDisconnect(peer);
            relay.onDisconnect(peer);
        }
    }

    /** The store's entries of endpoints that said that they leave may still be ready. */
    private void sendLeaving(String peer) {
        records.leaving()
                .get()
                .forEach((endpoint, born) -> send(peer, new PeerMessage.EndpointLeaving(address, endpoint, born)));
    }

    private void sendRecords(String peer) {
        sendLeaving(peer);
        records.known()
                .get()
                .forEach((topic, known) ->
                        send(peer, new PeerMessage.Records(address, topic, true, known.records(), known.endOffset())));
    }

    private void handleView(PeerMessage.View v) {
        exchange.onView(v);
        if (v.from().equals(exchange.reportsTo()) && relay.onView(v.from(), v.records())) {
            send(v.from(), new PeerMessage.RecordsRequest(address));
        }
    }

    private String ownerOf(Endpoint engine) {
        return components.peers().ownerOf(components.lease().partitionOf(engine.id()));
    }

    private void handleLoadRequest(PeerMessage.AdapterLoadRequest a) {
        EngineController controller = components.assignedEngines().find(a.engine());
        if (controller == null) {
            send(a.from(), new PeerMessage.AdapterLoadReply(address, a.number(), false, false));
            return;
        }
        controller.request(
                a.wish(),
                ok -> send(
                        a.from(),
                        new PeerMessage.AdapterLoadReply(address, a.number(), ok, !ok && !controller.isReachable())));
    }

    private void completeLoad(long n, Outcome outcome) {
        Consumer<Outcome> done = pendingLoads.remove(n);
        if (done != null) {
            done.accept(outcome);
        }
    }

    /** Remembers whether the owner reaches the engine, for the selection of the next load targets. */
    private void finishLoad(Endpoint engine, Outcome outcome, Consumer<Outcome> done) {
        if (outcome == Outcome.UNREACHABLE) {
            components.residency().recordUnreachableByOwner(engine);
        } else if (outcome == Outcome.RESIDENT) {
            components.residency().recordLoaded(engine);
        }
        done.accept(outcome);
    }

    private static Outcome outcome(boolean loaded, boolean unreachable) {
        if (loaded) {
            return Outcome.RESIDENT;
        }
        return unreachable ? Outcome.UNREACHABLE : Outcome.REFUSED;
    }

    @Override
    public boolean send(String peer, PeerMessage m) {
        byte[] frame = encode(m);
        return frame != null && transport.send(peer, frame);
    }

    /** Sends a message to several peers; it is encoded once. */
    @Override
    public void sendAll(Collection<String> receivers, PeerMessage m) {
        byte[] frame = receivers.isEmpty() ? null : encode(m);
        if (frame != null) {
            receivers.forEach(p -> transport.send(p, frame));
        }
    }

    private byte[] encode(PeerMessage m) {
        try {
            return codec.encode(m);
        } catch (IOException e) {
            log.log(EventCode.TASK_FAILED, m.getClass().getSimpleName(), "cause", e.getMessage());
            return null;
        }
    }
}
