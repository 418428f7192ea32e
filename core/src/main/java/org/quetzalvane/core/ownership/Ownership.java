package org.quetzalvane.core.ownership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.Collectors;

import org.quetzalvane.core.cluster.Membership;
import org.quetzalvane.core.cluster.NodeContext;
import org.quetzalvane.core.cluster.NodeInfo;
import org.quetzalvane.core.cluster.RendezvousHash;
import org.quetzalvane.core.config.ConfigTable;
import org.quetzalvane.core.event.EventCode;
import org.quetzalvane.core.event.EventLog;
import org.quetzalvane.core.exc.RecordException;
import org.quetzalvane.core.model.Engine;
import org.quetzalvane.core.port.LogPort;
import org.quetzalvane.core.time.Scheduler;

/**
 * This node's part in engine ownership: renews its lease, claims the engines that fall to it and releases them.
 *
 * <p>Invariant: {@link #mayDispatch} is true only while this incarnation holds the engine and its lease, counted from
 * before the renewal was appended, has not lapsed on the local monotonic clock. An engine whose holder's lease has
 * lapsed is claimed only after the lapse as this node reads it, which is never earlier than the holder's own.
 *
 * <p>Thread-safe; holds no lock while calling out.
 */
public final class Ownership {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final NodeInfo self;
    private final OwnershipConfig config;
    private final LogPort log;
    private final OwnershipTable table;
    private final Membership membership;
    private final ConfigTable objects;
    private final Scheduler scheduler;
    private final EventLog events;
    private final Listener listener;
    private final AtomicBoolean appending = new AtomicBoolean();
    private final LeaseKeeper lease;
    private final ClaimBatch claims = new ClaimBatch();
    private final Restatement restatement;
    private volatile boolean leaving;

    /** Hears which engines this node gained and lost. Called without locks held. */
    public interface Listener {
        /** This node holds the engine; called again for the same fencing number, also with a changed record. */
        void acquired(Engine engine, long fencingToken);

        /** This node does not hold the engine; may be called for engines it never held. */
        void lost(String engine);
    }

    /** Builds the part of one node; nothing happens before {@link #start()}. */
    public Ownership(
            NodeContext context,
            OwnershipConfig config,
            LogPort log,
            OwnershipTable table,
            Membership membership,
            ConfigTable objects,
            Listener listener) {
        this.self = context.self();
        this.scheduler = context.scheduler();
        this.events = context.events();
        this.config = config;
        this.log = log;
        this.table = table;
        this.membership = membership;
        this.objects = objects;
        this.listener = listener;
        this.lease = new LeaseKeeper(config.lease().toNanos());
        this.restatement = new Restatement(table, config, scheduler, events, this::append);
    }

    /** Starts the periodic renewal and claiming. */
    public void start() {
        renewIfIdle();
        scheduler.repeat(config.renewInterval(), this::renewIfIdle);
        scheduler.repeat(config.claimInterval(), this::look);
    }

    /** Takes in the record at an offset of the ownership stream. */
    public void apply(long offset, byte[] data) {
        OwnershipRecord r;
        try {
            r = OwnershipRecordCodec.decode(data);
        } catch (RecordException e) {
            events.record(EventCode.BAD_INPUT, config.stream(), "offset " + offset + ": " + e.getMessage());
            return;
        }
        long now = scheduler.nanoTime();
        boolean wasWhole = table.complete();
        OwnershipTable.Applied applied = table.apply(offset, r, now);
        if (r instanceof OwnershipRecord.Renewal) {
            renewed((OwnershipRecord.Renewal) r, applied.counted(), now);
        }
        restatement.applied(r, wasWhole && !table.complete(), this::rank);
        applied.changes().forEach(this::changed);
        if (!applied.changes().isEmpty()) {
            announceHeld();
        }
        if (r instanceof OwnershipRecord.Release) {
            claimDue(((OwnershipRecord.Release) r).engines());
        }
    }

    /** Whether this node may dispatch to and order an engine at this moment. */
    public boolean mayDispatch(String engine) {
        return leaseValid() && owns(engine);
    }

    /** The node that holds an engine, with its addresses, if both are known. */
    public Optional<NodeInfo> ownerOf(String engine) {
        return table.owner(engine).flatMap(h -> membership.find(h.node()));
    }

    /** The fencing number under which this node holds an engine or role. */
    public Optional<Long> fencingToken(String name) {
        return owns(name) ? table.owner(name).map(OwnershipTable.EngineOwner::fencingToken) : Optional.empty();
    }

    /** Whether the holder of an engine or role has certainly lost its lease, as this node reads it. */
    public boolean leaseExpired(String name) {
        return !owns(name) && isFree(name);
    }

    public boolean owns(String engine) {
        return table.owner(engine)
                .filter(h -> h.node().equals(self.node()) && h.incarnation() == self.incarnation())
                .isPresent();
    }

    public boolean leaseValid() {
        return lease.valid(scheduler.nanoTime());
    }

    /** Announces that this node is leaving; it claims nothing more. */
    public void announceLeaving() {
        leaving = true;
        renew();
    }

    /** Gives engines up; call only when nothing of this node runs on them. */
    public CompletableFuture<Long> release(List<String> engines) {
        return engines.isEmpty()
                ? CompletableFuture.completedFuture(-1L)
                : append(new OwnershipRecord.Release(self.node(), self.incarnation(), engines));
    }

    /** Engines held by this node. */
    public List<String> held() {
        return table.heldBy(self.node(), self.incarnation());
    }

    private void renewIfIdle() {
        if (appending.compareAndSet(false, true)) {
            renew().whenComplete((offset, failure) -> appending.set(false));
        }
    }

    private CompletableFuture<Long> renew() {
        long sequence = lease.begin(scheduler.nanoTime());
        return append(
                new OwnershipRecord.Renewal(self, sequence, config.lease().toMillis(), leaving, table.complete()));
    }

    /** A renewal by a node that lacks the beginning of the stream gives no lease; a reset does not wait for it. */
    private void renewed(OwnershipRecord.Renewal r, boolean counted, long now) {
        membership.recordRenewal(r.node(), r.leaving(), now + r.leaseMillis() * NANOS_PER_MILLI);
        boolean own = r.node().node().equals(self.node()) && r.node().incarnation() == self.incarnation();
        if (own && counted && r.whole() && lease.readBack(r.sequence())) {
            events.record(EventCode.LEASE_RENEWED, self.node(), "first of incarnation " + self.incarnation());
        }
    }

    private void changed(OwnershipTable.Change change) {
        boolean mine = change.node().equals(self.node());
        if (mine) {
            claims.readBack(change.engine());
        }
        if (change.won()) {
            events.record(
                    EventCode.ENGINE_CLAIMED, change.engine(), change.node() + " fencing " + change.fencingToken());
        } else if (mine) {
            EventCode code = owns(change.engine()) ? EventCode.CLAIM_LOST : EventCode.ENGINE_RELEASED;
            events.record(code, change.engine(), "");
        }
        if (!owns(change.engine())) {
            listener.lost(change.engine());
        }
    }

    /** Repeats every engine held, since a claim may be read before the engine's own configuration. */
    private void announceHeld() {
        List<String> held = held();
        held.removeAll(config.roles());
        List<Engine> engines = objects.read(
                s -> held.stream().map(s::engine).flatMap(Optional::stream).toList());
        engines.forEach(e -> fencingToken(e.name()).ifPresent(f -> listener.acquired(e, f)));
        engines.forEach(e -> held.remove(e.name()));
        held.forEach(listener::lost);
    }

    private void look() {
        announceHeld();
        restatement.resetIfAlone();
        List<String> names = new ArrayList<>(config.roles());
        objects.read(state -> state.engines()).forEach(e -> names.add(e.name()));
        claimDue(names);
    }

    /** Claims those of the named engines and roles that are free and fall to this node by rendezvous hashing. */
    private void claimDue(List<String> names) {
        if (leaving || !leaseValid() || !table.complete()) {
            return;
        }
        Set<String> free = names.stream().filter(this::isFree).collect(Collectors.toSet());
        if (free.isEmpty()) {
            return;
        }
        List<OwnershipRecord.EngineClaim> due = new ArrayList<>();
        for (String name : wanted(free)) {
            due.add(new OwnershipRecord.EngineClaim(name, table.supersedes(name)));
        }
        List<OwnershipRecord.EngineClaim> batch = claims.begin(due, scheduler.nanoTime());
        if (!batch.isEmpty()) {
            append(new OwnershipRecord.Claim(self.node(), self.incarnation(), batch));
        }
    }

    private List<String> wanted(Set<String> free) {
        List<NodeInfo> inRegion = inRegion();
        List<String> wanted = new ArrayList<>();
        config.roles().stream()
                .filter(r -> free.contains(r) && fallsToSelf(r, inRegion))
                .forEach(wanted::add);
        objects.read(state -> state.engines()).stream()
                .filter(e -> free.contains(e.name()) && fallsToSelf(e, inRegion))
                .forEach(e -> wanted.add(e.name()));
        return wanted;
    }

    private boolean fallsToSelf(Engine e, List<NodeInfo> inRegion) {
        List<NodeInfo> near = inRegion.stream()
                .filter(n -> n.dataCentre().equals(e.dataCentre()))
                .toList();
        boolean here = e.dataCentre().region().equals(self.dataCentre().region());
        return here && fallsToSelf(e.name(), near.isEmpty() ? inRegion : near);
    }

    private List<NodeInfo> inRegion() {
        String region = self.dataCentre().region();
        return membership.candidates(
                scheduler.nanoTime(), n -> n.dataCentre().region().equals(region));
    }

    /** Place of this node among the live nodes of the region. */
    private int rank() {
        List<NodeInfo> ranked = RendezvousHash.rank(config.stream(), inRegion(), NodeInfo::node);
        return (int)
                ranked.stream().takeWhile(n -> !n.node().equals(self.node())).count();
    }

    private boolean fallsToSelf(String name, List<NodeInfo> candidates) {
        List<NodeInfo> ranked = RendezvousHash.rank(name, candidates, NodeInfo::node);
        return !ranked.isEmpty() && ranked.get(0).node().equals(self.node());
    }

    private boolean isFree(String engine) {
        if (!table.complete()) {
            return false;
        }
        Optional<OwnershipTable.EngineOwner> h = table.owner(engine);
        if (h.isEmpty()) {
            return true;
        }
        Optional<OwnershipTable.Lease> l = table.lease(h.get().node(), h.get().incarnation());
        if (l.isEmpty()) {
            return false;
        }
        long lapse =
                l.get().readAtNanos() + (l.get().leaseMillis() + config.margin().toMillis()) * NANOS_PER_MILLI;
        return !owns(engine) && lapse - scheduler.nanoTime() < 0;
    }

    private CompletableFuture<Long> append(OwnershipRecord r) {
        return log.append(config.stream(), OwnershipRecordCodec.encode(r));
    }
}
