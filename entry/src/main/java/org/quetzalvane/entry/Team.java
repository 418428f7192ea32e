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
import org.quetzalvane.transport.PeerNet;

/**
 * This node among its peers: reports its state at a steady pace, takes theirs, and brings load requests to the node
 * that holds the engine's duty. Confined to the event loop.
 */
final class Team implements AdapterLoader {
    /** Added to the wait of a load request for the way to the duty holder and back, ms. */
    private static final long WAY_MS = 20;

    private final Scheduler scheduler;
    private final StructuredLog log;
    private final PeerTable peers;
    private final EndpointLoads loads;
    private final AdapterUsage use;
    private final ResidencyTable residency;
    private final AssignmentLease lease;
    private final AssignedEngines book;
    private final LoadTimeEstimator times;
    private final Self self;
    private final PeerCodec codec = new PeerCodec();
    private final Map<Long, Consumer<Outcome>> asked = new HashMap<>();
    private PeerNet net;
    private long number;

    /**
     * What this node says of itself.
     *
     * @param records the records of a topic that this node knows, by the topic's name
     * @param taken takes a topic's records from a peer
     */
    record Self(
            String address,
            String callerAddress,
            String zone,
            BooleanSupplier ready,
            BooleanSupplier leaving,
            Supplier<Map<String, List<StoreRecord>>> records,
            Consumer<PeerMessage.Records> taken) {}

    /** What is shared with the request path and the duties. */
    record Shared(
            PeerTable peers,
            EndpointLoads loads,
            AdapterUsage use,
            ResidencyTable residency,
            AssignmentLease lease,
            AssignedEngines book,
            LoadTimeEstimator times,
            StructuredLog log) {}

    Team(Scheduler scheduler, Shared shared, Self self) {
        this.scheduler = scheduler;
        this.log = shared.log();
        this.peers = shared.peers();
        this.loads = shared.loads();
        this.use = shared.use();
        this.residency = shared.residency();
        this.lease = shared.lease();
        this.book = shared.book();
        this.times = shared.times();
        this.self = self;
    }

    void start(PeerNet peerNet) {
        net = peerNet;
        scheduler.repeat(Duration.ofMillis(PeerTable.REPORT_INTERVAL_MS), this::report);
        report();
    }

    /** Reports now, out of turn. */
    void report() {
        net.want(peers.connectTargets());
        book.residencies().forEach(residency::update);
        PeerMessage.Status s = status();
        peers.connectTargets().forEach(p -> send(p, s));
    }

    /** Asks every reachable peer for the records that it knows. */
    void askForRecords() {
        peers.connectTargets().forEach(p -> send(p, new PeerMessage.RecordsRequest(self.address())));
    }

    @Override
    public void load(Endpoint engine, LoadRequest wish, Consumer<Outcome> done) {
        EngineController own = book.find(engine.id());
        if (own != null) {
            own.request(wish, ok -> {
                EngineResidency holding = own.holding();
                if (ok && holding != null) {
                    residency.update(engine.id(), holding);
                }
                done.accept(outcome(ok));
            });
            return;
        }
        String holder = peers.ownerOf(lease.partitionOf(engine.id()));
        long n = ++number;
        boolean sent = holder != null
                && send(holder, new PeerMessage.AdapterLoadRequest(self.address(), n, engine.id(), wish));
        if (!sent) {
            log.log(
                    EventCode.LOAD_FAILED,
                    engine.id(),
                    "adapter",
                    wish.adapter(),
                    "holder",
                    holder,
                    "cause",
                    "no holder");
            scheduler.schedule(Duration.ZERO, () -> done.accept(Outcome.NO_OWNER));
            return;
        }
        asked.put(n, done);
        scheduler.schedule(Duration.ofMillis(wish.waitMs() + WAY_MS), () -> replied(n, Outcome.NO_OWNER));
    }

    @Override
    public boolean hasOwner(Endpoint engine) {
        return book.find(engine.id()) != null || peers.ownerOf(lease.partitionOf(engine.id())) != null;
    }

    /** Takes a frame from a peer. */
    void receive(byte[] frame) {
        PeerMessage m;
        try {
            m = codec.decode(frame);
        } catch (IOException e) {
            log.log(EventCode.BAD_INPUT, "peer", "cause", e.getMessage());
            return;
        }
        if (m instanceof PeerMessage.Status s) {
            heard(s);
        } else if (m instanceof PeerMessage.AdapterLoadRequest a) {
            serve(a);
        } else if (m instanceof PeerMessage.AdapterLoadReply r) {
            replied(r.number(), outcome(r.loaded()));
        } else if (m instanceof PeerMessage.RecordsRequest a) {
            self.records()
                    .get()
                    .forEach((topic, records) ->
                            send(a.from(), new PeerMessage.Records(self.address(), topic, records)));
        } else if (m instanceof PeerMessage.Records r) {
            self.taken().accept(r);
        }
    }

    /** Takes note that the connection to a peer was made or lost. */
    void reachable(String peer, boolean on) {
        if (!on) {
            log.log(EventCode.PEER_LOST, peer);
            peers.disconnected(peer);
            loads.removePeer(peer);
            use.removePeer(peer);
        }
    }

    private PeerMessage.Status status() {
        Map<String, List<AdapterRef>> inUse = new HashMap<>();
        use.own().forEach((engine, refs) -> inUse.put(engine, List.copyOf(refs)));
        List<String> members = new ArrayList<>();
        peers.up().forEach(p -> members.add(p.from()));
        return new PeerMessage.Status(
                self.address(),
                self.callerAddress(),
                self.zone(),
                self.ready().getAsBoolean(),
                self.leaving().getAsBoolean(),
                lease.generation(),
                List.copyOf(lease.owned()),
                List.copyOf(lease.recentlyOrdered()),
                loads.own(),
                inUse,
                book.residencies(),
                members,
                times.loadsInFlight());
    }

    private void heard(PeerMessage.Status s) {
        peers.updatePeer(s);
        loads.updatePeer(s.from(), s.loads());
        Map<String, Set<AdapterRef>> inUse = new HashMap<>();
        s.inUse().forEach((engine, refs) -> inUse.put(engine, new HashSet<>(refs)));
        use.updatePeer(s.from(), inUse);
        s.holdings().forEach(residency::update);
    }

    private void serve(PeerMessage.AdapterLoadRequest a) {
        EngineController duty = book.find(a.engine());
        Consumer<Boolean> reply =
                ok -> send(a.from(), new PeerMessage.AdapterLoadReply(self.address(), a.number(), ok));
        if (duty == null) {
            reply.accept(false);
        } else {
            duty.request(a.wish(), reply);
        }
    }

    private void replied(long n, Outcome outcome) {
        Consumer<Outcome> done = asked.remove(n);
        if (done != null) {
            done.accept(outcome);
        }
    }

    private static Outcome outcome(boolean loaded) {
        return loaded ? Outcome.RESIDENT : Outcome.REFUSED;
    }

    private boolean send(String peer, PeerMessage m) {
        try {
            return net.send(peer, codec.encode(m));
        } catch (IOException e) {
            log.log(EventCode.TASK_FAILED, peer, "cause", e.getMessage());
            return false;
        }
    }
}
