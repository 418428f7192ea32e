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
 * Engine ownership on this node: renews the lease of the node, claims the engines assigned to it and releases them.
 *
 * <p>Invariant: {@link #mayDispatch} is true only while this incarnation owns the engine and its lease has not expired
 * on the local monotonic clock. The owner counts the lease from before it appended the renewal, the other nodes from
 * when they read the renewal; so no other node counts the lease as expired, and claims the engine, before the owner
 * does.
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
    private final LocalLease lease;
    private final PendingClaims claims = new PendingClaims();
    private final StreamRecovery recovery;
    private volatile boolean leaving;

    /** Is notified of the engines that this node acquires and loses. Called without locks held. */
    public interface Listener {
        /** This node owns the engine; called repeatedly for a fencing token, also with a changed engine record. */
        void acquired(Engine engine, long fencingToken);

        /** This node does not own the engine; may be called for engines that it never owned. */
        void lost(String engine);
    }

    /** Creates the ownership of one node, inactive until {@link #start()}. */
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
        this.lease = new LocalLease(config.lease().toNanos());
        this.recovery = new StreamRecovery(table, config, scheduler, events, this::append);
    }

    /** Starts to renew the lease and to claim engines at intervals. */
    public void start() {
        renewIfIdle();
        scheduler.repeat(config.renewInterval(), this::renewIfIdle);
        scheduler.repeat(config.claimInterval(), this::checkClaims);
    }

    /** Applies the record at an offset of the ownership stream. */
    public void apply(long offset, byte[] data) {
        OwnershipRecord r;
        try {
            r = OwnershipRecordCodec.decode(data);
        } catch (RecordException e) {
            events.record(EventCode.BAD_INPUT, config.stream(), "offset " + offset + ": " + e.getMessage());
            return;
        }
        long now = scheduler.nanoTime();
        boolean wasComplete = table.complete();
        OwnershipTable.Applied applied = table.apply(offset, r, now);
        if (r instanceof OwnershipRecord.Renewal) {
            handleRenewal((OwnershipRecord.Renewal) r, applied.renewed(), now);
        }
        recovery.applied(r, wasComplete && !table.complete(), this::rank);
        applied.changes().forEach(this::handleChange);
        if (!applied.changes().isEmpty()) {
            notifyOwned();
        }
        if (r instanceof OwnershipRecord.Release) {
            claimFree(((OwnershipRecord.Release) r).engines());
        }
    }

    /** Whether this node may send requests and orders to an engine now. */
    public boolean mayDispatch(String engine) {
        return leaseValid() && owns(engine);
    }

    /** The node that owns an engine, with its addresses, if both are known. */
    public Optional<NodeInfo> ownerOf(String engine) {
        return table.owner(engine).flatMap(h -> membership.find(h.node()));
    }

    /** The fencing token under which this node owns an engine or role. */
    public Optional<Long> fencingToken(String name) {
        return owns(name) ? table.owner(name).map(OwnershipTable.EngineOwner::fencingToken) : Optional.empty();
    }

    /** Whether an engine or role has no owner, or the lease of its owner, another node, has certainly expired. */
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

    /** Announces that this node is leaving and stops claiming. */
    public void announceLeaving() {
        leaving = true;
        renew();
    }

    /** Releases engines; call only when nothing of this node runs on them. Returns the offset of the record. */
    public CompletableFuture<Long> release(List<String> engines) {
        return engines.isEmpty()
                ? CompletableFuture.completedFuture(-1L)
                : append(new OwnershipRecord.Release(self.node(), self.incarnation(), engines));
    }

    /** The engines and roles that this node owns. */
    public List<String> held() {
        return table.enginesOf(self.node(), self.incarnation());
    }

    private void renewIfIdle() {
        if (appending.compareAndSet(false, true)) {
            renew().whenComplete((offset, failure) -> appending.set(false));
        }
    }

    private CompletableFuture<Long> renew() {
        long sequence = lease.startRenewal(scheduler.nanoTime());
        return append(
                new OwnershipRecord.Renewal(self, sequence, config.lease().toMillis(), leaving, table.complete()));
    }

    /**
     * A renewal of this node extends its lease only if its state was complete: a reset does not wait for other leases.
     */
    private void handleRenewal(OwnershipRecord.Renewal r, boolean effective, long now) {
        membership.recordRenewal(r.node(), r.leaving(), now + r.leaseMillis() * NANOS_PER_MILLI);
        boolean own = r.node().node().equals(self.node()) && r.node().incarnation() == self.incarnation();
        if (own && effective && r.whole() && lease.readBack(r.sequence())) {
            events.record(EventCode.LEASE_RENEWED, self.node(), "first of incarnation " + self.incarnation());
        }
    }

    private void handleChange(OwnershipTable.Change change) {
        boolean own = change.node().equals(self.node());
        if (own) {
            claims.readBack(change.engine());
        }
        if (change.acquired()) {
            events.record(
                    EventCode.ENGINE_CLAIMED, change.engine(), change.node() + " fencing " + change.fencingToken());
        } else if (own) {
            EventCode code = owns(change.engine()) ? EventCode.CLAIM_LOST : EventCode.ENGINE_RELEASED;
            events.record(code, change.engine(), "");
        }
        if (!owns(change.engine())) {
            listener.lost(change.engine());
        }
    }

    /**
     * Notifies the listener of every owned engine, since a claim may be read before the configuration of its engine.
     */
    private void notifyOwned() {
        List<String> held = held();
        held.removeAll(config.roles());
        List<Engine> engines = objects.read(
                s -> held.stream().map(s::engine).flatMap(Optional::stream).toList());
        engines.forEach(e -> fencingToken(e.name()).ifPresent(f -> listener.acquired(e, f)));
        engines.forEach(e -> held.remove(e.name()));
        held.forEach(listener::lost);
    }

    private void checkClaims() {
        notifyOwned();
        recovery.resetIfNoCompleteNode();
        List<String> names = new ArrayList<>(config.roles());
        objects.read(state -> state.engines()).forEach(e -> names.add(e.name()));
        claimFree(names);
    }

    /** Claims those of the given engines and roles that are free and that rendezvous hashing assigns to this node. */
    private void claimFree(List<String> names) {
        if (leaving || !leaseValid() || !table.complete()) {
            return;
        }
        Set<String> free = names.stream().filter(this::isFree).collect(Collectors.toSet());
        if (free.isEmpty()) {
            return;
        }
        List<OwnershipRecord.EngineClaim> due = new ArrayList<>();
        for (String name : selectForSelf(free)) {
            due.add(new OwnershipRecord.EngineClaim(name, table.supersedes(name)));
        }
        List<OwnershipRecord.EngineClaim> batch = claims.startBatch(due, scheduler.nanoTime());
        if (!batch.isEmpty()) {
            append(new OwnershipRecord.Claim(self.node(), self.incarnation(), batch));
        }
    }

    private List<String> selectForSelf(Set<String> free) {
        List<NodeInfo> inRegion = inRegion();
        List<String> selected = new ArrayList<>();
        config.roles().stream()
                .filter(r -> free.contains(r) && isAssignedToSelf(r, inRegion))
                .forEach(selected::add);
        objects.read(state -> state.engines()).stream()
                .filter(e -> free.contains(e.name()) && isAssignedToSelf(e, inRegion))
                .forEach(e -> selected.add(e.name()));
        return selected;
    }

    private boolean isAssignedToSelf(Engine e, List<NodeInfo> inRegion) {
        List<NodeInfo> inDataCentre = inRegion.stream()
                .filter(n -> n.dataCentre().equals(e.dataCentre()))
                .toList();
        boolean here = e.dataCentre().region().equals(self.dataCentre().region());
        return here && isAssignedToSelf(e.name(), inDataCentre.isEmpty() ? inRegion : inDataCentre);
    }

    private List<NodeInfo> inRegion() {
        String region = self.dataCentre().region();
        return membership.candidates(
                scheduler.nanoTime(), n -> n.dataCentre().region().equals(region));
    }

    /** Position of this node in the rendezvous order of the live nodes of the region. */
    private int rank() {
        List<NodeInfo> ranked = RendezvousHash.rank(config.stream(), inRegion(), NodeInfo::node);
        return (int)
                ranked.stream().takeWhile(n -> !n.node().equals(self.node())).count();
    }

    private boolean isAssignedToSelf(String name, List<NodeInfo> candidates) {
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
        long expiryNanos =
                l.get().readAtNanos() + (l.get().leaseMillis() + config.margin().toMillis()) * NANOS_PER_MILLI;
        return !owns(engine) && expiryNanos - scheduler.nanoTime() < 0;
    }

    private CompletableFuture<Long> append(OwnershipRecord r) {
        return log.append(config.stream(), OwnershipRecordCodec.encode(r));
    }
}
