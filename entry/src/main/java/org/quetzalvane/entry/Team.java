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

import org.quetzalvane.core.choice.LoadTable;
import org.quetzalvane.core.event.DecisionLog;
import org.quetzalvane.core.event.EventCode;
import org.quetzalvane.core.fleet.Endpoint;
import org.quetzalvane.core.residency.AdapterUse;
import org.quetzalvane.core.residency.EngineDuty;
import org.quetzalvane.core.residency.EngineHolding;
import org.quetzalvane.core.residency.LoadBroker;
import org.quetzalvane.core.residency.LoadTimes;
import org.quetzalvane.core.residency.LoadWish;
import org.quetzalvane.core.residency.ResidencyView;
import org.quetzalvane.core.routes.AdapterRef;
import org.quetzalvane.core.store.StoreRecord;
import org.quetzalvane.core.team.DutyBook;
import org.quetzalvane.core.team.DutyLease;
import org.quetzalvane.core.team.PeerMessage;
import org.quetzalvane.core.team.PeerTable;
import org.quetzalvane.core.time.Scheduler;
import org.quetzalvane.transport.PeerNet;

/**
 * This node among its peers: reports its state at a steady pace, takes theirs, and brings load requests to the node
 * that holds the engine's duty. Confined to the event loop.
 */
final class Team implements LoadBroker {
    /** Added to the wait of a load request for the way to the duty holder and back, ms. */
    private static final long WAY_MS = 20;

    private final Scheduler scheduler;
    private final DecisionLog log;
    private final PeerTable peers;
    private final LoadTable loads;
    private final AdapterUse use;
    private final ResidencyView residency;
    private final DutyLease lease;
    private final DutyBook book;
    private final LoadTimes times;
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
            LoadTable loads,
            AdapterUse use,
            ResidencyView residency,
            DutyLease lease,
            DutyBook book,
            LoadTimes times,
            DecisionLog log) {}

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
        scheduler.repeat(Duration.ofMillis(PeerTable.REPORT_MS), this::report);
        report();
    }

    /** Reports now, out of turn. */
    void report() {
        net.want(peers.wanted());
        book.holdings().forEach(residency::tell);
        PeerMessage.Status s = status();
        peers.wanted().forEach(p -> send(p, s));
    }

    /** Asks every reachable peer for the records that it knows. */
    void askForRecords() {
        peers.wanted().forEach(p -> send(p, new PeerMessage.RecordsAsk(self.address())));
    }

    @Override
    public void load(Endpoint engine, LoadWish wish, Consumer<Outcome> done) {
        EngineDuty own = book.find(engine.id());
        if (own != null) {
            own.request(wish, ok -> {
                EngineHolding holding = own.holding();
                if (ok && holding != null) {
                    residency.tell(engine.id(), holding);
                }
                done.accept(outcome(ok));
            });
            return;
        }
        String holder = peers.holderOf(lease.partitionOf(engine.id()));
        long n = ++number;
        boolean sent = holder != null && send(holder, new PeerMessage.LoadAsk(self.address(), n, engine.id(), wish));
        if (!sent) {
            log.decided(
                    EventCode.LOAD_FAILED,
                    engine.id(),
                    "adapter",
                    wish.adapter(),
                    "holder",
                    holder,
                    "cause",
                    "no holder");
            scheduler.schedule(Duration.ZERO, () -> done.accept(Outcome.NO_HOLDER));
            return;
        }
        asked.put(n, done);
        scheduler.schedule(Duration.ofMillis(wish.waitMs() + WAY_MS), () -> replied(n, Outcome.NO_HOLDER));
    }

    @Override
    public boolean hasHolder(Endpoint engine) {
        return book.find(engine.id()) != null || peers.holderOf(lease.partitionOf(engine.id())) != null;
    }

    /** Takes a frame from a peer. */
    void receive(byte[] frame) {
        PeerMessage m;
        try {
            m = codec.decode(frame);
        } catch (IOException e) {
            log.decided(EventCode.BAD_INPUT, "peer", "cause", e.getMessage());
            return;
        }
        if (m instanceof PeerMessage.Status s) {
            heard(s);
        } else if (m instanceof PeerMessage.LoadAsk a) {
            serve(a);
        } else if (m instanceof PeerMessage.LoadReply r) {
            replied(r.number(), outcome(r.loaded()));
        } else if (m instanceof PeerMessage.RecordsAsk a) {
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
            log.decided(EventCode.PEER_LOST, peer);
            peers.unreachable(peer);
            loads.forget(peer);
            use.forget(peer);
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
                List.copyOf(lease.held()),
                List.copyOf(lease.orderedRecently()),
                loads.own(),
                inUse,
                book.holdings(),
                members,
                times.onTheWay());
    }

    private void heard(PeerMessage.Status s) {
        peers.heard(s);
        loads.reported(s.from(), s.loads());
        Map<String, Set<AdapterRef>> inUse = new HashMap<>();
        s.inUse().forEach((engine, refs) -> inUse.put(engine, new HashSet<>(refs)));
        use.reported(s.from(), inUse);
        s.holdings().forEach(residency::tell);
    }

    private void serve(PeerMessage.LoadAsk a) {
        EngineDuty duty = book.find(a.engine());
        Consumer<Boolean> reply = ok -> send(a.from(), new PeerMessage.LoadReply(self.address(), a.number(), ok));
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
        return loaded ? Outcome.HELD : Outcome.REFUSED;
    }

    private boolean send(String peer, PeerMessage m) {
        try {
            return net.send(peer, codec.encode(m));
        } catch (IOException e) {
            log.decided(EventCode.TASK_FAILED, peer, "cause", e.getMessage());
            return false;
        }
    }
}
