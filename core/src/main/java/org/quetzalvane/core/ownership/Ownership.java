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
 * <p>Invariant: {@link #mayDispatch} is true only while this incarnation owns the engine and the lease of this node has
 * not expired on the local monotonic clock. The owner counts its lease from before the append of a renewal; other nodes
 * count the same lease from their reading of the record, plus a margin. So the owner stops dispatching before any other
 * node may claim the engine.
 *
 * <p>Thread-safe; holds no lock while calling out.
 */
public final class Ownership {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final NodeInfo self;
    private final OwnershipConfig ownershipConfig;
    private final LogPort log;
    private final OwnershipTable ownershipTable;
    private final Membership membership;
    private final ConfigTable config;
    private final Scheduler scheduler;
    private final EventLog events;
    private final Listener listener;
    private final AtomicBoolean appending = new AtomicBoolean();
    private final LocalLease lease;
    private final PendingClaims pendingClaims = new PendingClaims();
    private final StreamRecovery recovery;
    private volatile boolean leaving;

    /** Is notified of the engines that this node acquires and loses. Called without locks held. */
    public interface Listener {
        /** This node owns the engine; called repeatedly for a fencing token, also with a changed engine record. */
        void acquired(Engine engine, long fencingToken);

        /**
         * This node must not use the engine: this node does not own the engine, or the engine has no configuration
         * record. May be called repeatedly and for engines that were never acquired.
         */
        void lost(String engine);
    }

    /** Creates the ownership of one node, inactive until {@link #start()}. */
    public Ownership(
            NodeContext context,
            OwnershipConfig ownershipConfig,
            LogPort log,
            OwnershipTable ownershipTable,
            Membership membership,
            ConfigTable config,
            Listener listener) {
        this.self = context.self();
        this.scheduler = context.scheduler();
        this.events = context.events();
        this.ownershipConfig = ownershipConfig;
        this.log = log;
        this.ownershipTable = ownershipTable;
        this.membership = membership;
        this.config = config;
        this.listener = listener;
        this.lease = new LocalLease(ownershipConfig.leaseDuration().toNanos());
        this.recovery = new StreamRecovery(ownershipTable, ownershipConfig, scheduler, events, this::append);
    }

    /** Starts to renew the lease and to claim engines at intervals. */
    public void start() {
        renewIfIdle();
        scheduler.repeat(ownershipConfig.renewInterval(), this::renewIfIdle);
        scheduler.repeat(ownershipConfig.claimInterval(), this::claimAndRecover);
    }

    /** Applies the record at an offset of the ownership stream. */
    public void apply(long offset, byte[] data) {
        OwnershipRecord r;
        try {
            r = OwnershipRecordCodec.decode(data);
        } catch (RecordException e) {
            events.record(EventCode.BAD_INPUT, ownershipConfig.stream(), "offset " + offset + ": " + e.getMessage());
            return;
        }
        long now = scheduler.nanoTime();
        boolean wasComplete = ownershipTable.complete();
        OwnershipTable.Applied applied = ownershipTable.apply(offset, r, now);
        if (r instanceof OwnershipRecord.Renewal) {
            handleRenewal((OwnershipRecord.Renewal) r, applied.renewed(), now);
        }
        recovery.applied(r, wasComplete && !ownershipTable.complete(), this::rank);
        applied.changes().forEach(this::handleChange);
        if (!applied.changes().isEmpty()) {
            notifyOwned();
        }
        if (r instanceof OwnershipRecord.Release) {
            claimUnowned(((OwnershipRecord.Release) r).engines());
        }
    }

    /**
     * Whether this node may send requests and orders to an engine, or act in a role, now.
     *
     * @param name name of an engine or role
     */
    public boolean mayDispatch(String name) {
        return leaseValid() && owns(name);
    }

    /** The node that owns an engine or role, with the addresses of the node, if both are known. */
    public Optional<NodeInfo> ownerOf(String name) {
        return ownershipTable.owner(name).flatMap(owner -> membership.find(owner.node()));
    }

    /** The fencing token under which this node owns an engine or role. */
    public Optional<Long> fencingToken(String name) {
        return owns(name) ? ownershipTable.owner(name).map(OwnershipTable.EngineOwner::fencingToken) : Optional.empty();
    }

    /**
     * Whether an engine or role can be claimed: the table is complete and there is no owner, or the owner is another
     * incarnation whose lease plus margin has expired.
     */
    public boolean isClaimable(String name) {
        return !owns(name) && isUnownedOrExpired(name);
    }

    /** Whether this incarnation owns an engine or role, also when the lease of this node has expired. */
    public boolean owns(String name) {
        return ownershipTable
                .owner(name)
                .filter(owner -> owner.node().equals(self.node()) && owner.incarnation() == self.incarnation())
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
    public List<String> ownedNames() {
        return ownershipTable.enginesOf(self.node(), self.incarnation());
    }

    private void renewIfIdle() {
        if (appending.compareAndSet(false, true)) {
            renew().whenComplete((offset, failure) -> appending.set(false));
        }
    }

    private CompletableFuture<Long> renew() {
        long sequence = lease.startRenewal(scheduler.nanoTime());
        return append(new OwnershipRecord.Renewal(
                self, sequence, ownershipConfig.leaseDuration().toMillis(), leaving, ownershipTable.complete()));
    }

    /**
     * Records a renewal in the membership. A renewal of this node extends its lease only if it was written with a
     * complete state: an accepted reset discards the owners without waiting for renewals by nodes with an incomplete
     * state.
     */
    private void handleRenewal(OwnershipRecord.Renewal r, boolean effective, long now) {
        membership.recordRenewal(r.node(), r.leaving(), now + r.leaseMillis() * NANOS_PER_MILLI);
        boolean own = r.node().node().equals(self.node()) && r.node().incarnation() == self.incarnation();
        if (own && effective && r.complete() && lease.confirm(r.sequence())) {
            events.record(EventCode.LEASE_RENEWED, self.node(), "first of incarnation " + self.incarnation());
        }
    }

    private void handleChange(OwnershipTable.Change change) {
        boolean own = change.node().equals(self.node());
        if (own) {
            pendingClaims.clearPending(change.engine());
        }
        if (change.acquired()) {
            events.record(
                    EventCode.ENGINE_CLAIMED, change.engine(), change.node() + " fencing " + change.claimOffset());
        } else if (own) {
            EventCode code = owns(change.engine()) ? EventCode.CLAIM_LOST : EventCode.ENGINE_RELEASED;
            events.record(code, change.engine(), "");
        }
        if (!owns(change.engine())) {
            listener.lost(change.engine());
        }
    }

    /**
     * Notifies the listener of each owned engine with its present configuration, and of the loss of those without one.
     * A claim may be read before or after the configuration of its engine.
     */
    private void notifyOwned() {
        List<String> names = ownedNames();
        names.removeAll(ownershipConfig.roles());
        List<Engine> engines = config.read(
                s -> names.stream().map(s::engine).flatMap(Optional::stream).toList());
        engines.forEach(e -> fencingToken(e.name()).ifPresent(token -> listener.acquired(e, token)));
        engines.forEach(e -> names.remove(e.name()));
        names.forEach(listener::lost);
    }

    private void claimAndRecover() {
        notifyOwned();
        recovery.resetIfNoCompleteNode();
        List<String> names = new ArrayList<>(ownershipConfig.roles());
        config.read(state -> state.engines()).forEach(e -> names.add(e.name()));
        claimUnowned(names);
    }

    /**
     * Claims those of the given engines and roles that can be claimed and that rendezvous hashing assigns to this node.
     */
    private void claimUnowned(List<String> names) {
        if (leaving || !leaseValid() || !ownershipTable.complete()) {
            return;
        }
        Set<String> claimable = names.stream().filter(this::isUnownedOrExpired).collect(Collectors.toSet());
        if (claimable.isEmpty()) {
            return;
        }
        List<OwnershipRecord.EngineClaim> claims = new ArrayList<>();
        for (String name : selectForSelf(claimable)) {
            claims.add(new OwnershipRecord.EngineClaim(name, ownershipTable.supersedes(name)));
        }
        List<OwnershipRecord.EngineClaim> batch = pendingClaims.startBatch(claims, scheduler.nanoTime());
        if (!batch.isEmpty()) {
            append(new OwnershipRecord.Claim(self.node(), self.incarnation(), batch));
        }
    }

    private List<String> selectForSelf(Set<String> claimable) {
        List<NodeInfo> inRegion = inRegion();
        List<String> selected = new ArrayList<>();
        ownershipConfig.roles().stream()
                .filter(r -> claimable.contains(r) && isAssignedToSelf(r, inRegion))
                .forEach(selected::add);
        config.read(state -> state.engines()).stream()
                .filter(e -> claimable.contains(e.name()) && isAssignedToSelf(e, inRegion))
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

    /**
     * Index of this node in the rendezvous ranking of the candidate nodes of the region, from 0; the number of
     * candidates if this node is not one of them.
     */
    private int rank() {
        List<NodeInfo> ranked = RendezvousHash.rank(ownershipConfig.stream(), inRegion(), NodeInfo::node);
        return (int)
                ranked.stream().takeWhile(n -> !n.node().equals(self.node())).count();
    }

    private boolean isAssignedToSelf(String name, List<NodeInfo> candidates) {
        List<NodeInfo> ranked = RendezvousHash.rank(name, candidates, NodeInfo::node);
        return !ranked.isEmpty() && ranked.get(0).node().equals(self.node());
    }

    private boolean isUnownedOrExpired(String name) {
        if (!ownershipTable.complete()) {
            return false;
        }
        Optional<OwnershipTable.EngineOwner> owner = ownershipTable.owner(name);
        if (owner.isEmpty()) {
            return true;
        }
        Optional<OwnershipTable.Lease> ownerLease =
                ownershipTable.lease(owner.get().node(), owner.get().incarnation());
        if (ownerLease.isEmpty()) {
            return false;
        }
        long expiryNanos = ownerLease.get().readAtNanos()
                + (ownerLease.get().leaseMillis()
                                + ownershipConfig.expiryMargin().toMillis())
                        * NANOS_PER_MILLI;
        return !owns(name) && expiryNanos - scheduler.nanoTime() < 0;
    }

    private CompletableFuture<Long> append(OwnershipRecord r) {
        return log.append(ownershipConfig.stream(), OwnershipRecordCodec.encode(r));
    }
}
