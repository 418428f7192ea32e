package org.quetzalvane.core.ownership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;

import org.quetzalvane.core.cluster.Membership;
import org.quetzalvane.core.cluster.NodeContext;
import org.quetzalvane.core.cluster.NodeInfo;
import org.quetzalvane.core.cluster.Rendezvous;
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
    private final ClaimTable table;
    private final Membership membership;
    private final ConfigTable objects;
    private final Scheduler scheduler;
    private final EventLog events;
    private final Listener listener;
    private final AtomicBoolean appending = new AtomicBoolean();
    private volatile long sequence;
    private volatile long pendingStartNanos;
    private volatile long leaseUntilNanos;
    private volatile boolean leaseHeld;
    private volatile boolean leaving;

    /** Hears which engines this node gained and lost. Called without locks held. */
    public interface Listener {
        /** This node holds the engine; may be called again for the same fencing number. */
        void gained(Engine engine, long fencing);

        /** This node does not hold the engine; may be called for engines it never held. */
        void lost(String engine);
    }

    /** Builds the part of one node; nothing happens before {@link #start()}. */
    public Ownership(
            NodeContext context,
            OwnershipConfig config,
            LogPort log,
            ClaimTable table,
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
    }

    /** Starts the periodic renewal and claiming. */
    public void start() {
        leaseUntilNanos = scheduler.nanoTime();
        renew();
        scheduler.repeat(config.renewInterval(), this::renew);
        scheduler.repeat(config.claimInterval(), this::claimDue);
    }

    /** Takes in the record at an offset of the ownership stream. */
    public void apply(long offset, byte[] data) {
        ClaimRecord r;
        try {
            r = ClaimCodec.decode(data);
        } catch (RecordException e) {
            events.record(EventCode.BAD_INPUT, config.stream(), "offset " + offset + ": " + e.getMessage());
            return;
        }
        long now = scheduler.nanoTime();
        List<ClaimTable.Change> changes = table.apply(offset, r, now);
        if (r instanceof ClaimRecord.Renewal) {
            renewed((ClaimRecord.Renewal) r, now);
        }
        changes.forEach(this::changed);
        if (r instanceof ClaimRecord.Release) {
            claimDue();
        }
    }

    /** Whether this node may dispatch to and order an engine at this moment. */
    public boolean mayDispatch(String engine) {
        return leaseValid() && holds(engine);
    }

    /** The node that holds an engine, with its addresses, if both are known. */
    public Optional<NodeInfo> ownerOf(String engine) {
        return table.holder(engine).flatMap(h -> membership.find(h.node()));
    }

    /** The fencing number under which this node holds an engine or role. */
    public Optional<Long> fencing(String name) {
        return holds(name) ? table.holder(name).map(ClaimTable.Holding::fencing) : Optional.empty();
    }

    /** Whether the holder of an engine or role has certainly lost its lease, as this node reads it. */
    public boolean lapsed(String name) {
        return !holds(name) && isFree(name);
    }

    public boolean holds(String engine) {
        return table.holder(engine)
                .filter(h -> h.node().equals(self.node()) && h.incarnation() == self.incarnation())
                .isPresent();
    }

    public boolean leaseValid() {
        return leaseHeld && leaseUntilNanos - scheduler.nanoTime() > 0;
    }

    /** Announces that this node is leaving; it claims nothing more. */
    public void leave() {
        leaving = true;
        renew();
    }

    /** Gives engines up; call only when nothing of this node runs on them. */
    public CompletableFuture<Long> release(List<String> engines) {
        return engines.isEmpty()
                ? CompletableFuture.completedFuture(-1L)
                : append(new ClaimRecord.Release(self.node(), self.incarnation(), engines));
    }

    /** Engines held by this node. */
    public List<String> held() {
        return table.heldBy(self.node(), self.incarnation());
    }

    private void renew() {
        if (!appending.compareAndSet(false, true)) {
            return;
        }
        pendingStartNanos = scheduler.nanoTime();
        sequence++;
        ClaimRecord r = new ClaimRecord.Renewal(self, sequence, config.lease().toMillis(), leaving);
        log.append(config.stream(), ClaimCodec.encode(r)).whenComplete((offset, failure) -> appending.set(false));
    }

    private void renewed(ClaimRecord.Renewal r, long now) {
        long until = now + r.leaseMillis() * NANOS_PER_MILLI;
        membership.heard(r.node(), r.leaving(), until);
        boolean own = r.node().node().equals(self.node()) && r.node().incarnation() == self.incarnation();
        if (own && r.sequence() == sequence) {
            leaseUntilNanos = pendingStartNanos + config.lease().toNanos();
            if (!leaseHeld) {
                leaseHeld = true;
                events.record(EventCode.LEASE_RENEWED, self.node(), "first of incarnation " + self.incarnation());
            }
        }
    }

    private void changed(ClaimTable.Change change) {
        boolean mine = change.node().equals(self.node());
        if (change.won()) {
            events.record(EventCode.ENGINE_CLAIMED, change.engine(), change.node() + " fencing " + change.fencing());
        } else if (mine) {
            EventCode code = holds(change.engine()) ? EventCode.CLAIM_LOST : EventCode.ENGINE_RELEASED;
            events.record(code, change.engine(), "");
        }
        if (!holds(change.engine())) {
            listener.lost(change.engine());
        }
        announceHeld();
    }

    /** Repeats every engine held, since a claim may be read before the engine's own configuration. */
    private void announceHeld() {
        for (Engine e : objects.read(s -> s.engines())) {
            table.holder(e.name()).filter(h -> holds(e.name())).ifPresent(h -> listener.gained(e, h.fencing()));
        }
    }

    private void claimDue() {
        announceHeld();
        if (leaving || !leaseValid()) {
            return;
        }
        List<ClaimRecord.EngineClaim> due = new ArrayList<>();
        for (String name : wanted()) {
            if (isFree(name)) {
                due.add(new ClaimRecord.EngineClaim(name, table.supersedes(name)));
            }
        }
        if (!due.isEmpty()) {
            append(new ClaimRecord.Claim(self.node(), self.incarnation(), due));
        }
    }

    /** The engines and roles that fall to this node by rendezvous hashing. */
    private List<String> wanted() {
        long now = scheduler.nanoTime();
        String region = self.dataCentre().region();
        List<NodeInfo> inRegion =
                membership.candidates(now, n -> n.dataCentre().region().equals(region));
        List<String> wanted = new ArrayList<>();
        for (Engine e : objects.read(s -> s.engines())) {
            List<NodeInfo> near = inRegion.stream()
                    .filter(n -> n.dataCentre().equals(e.dataCentre()))
                    .toList();
            if (e.dataCentre().region().equals(region) && fallsToSelf(e.name(), near.isEmpty() ? inRegion : near)) {
                wanted.add(e.name());
            }
        }
        config.roles().stream().filter(r -> fallsToSelf(r, inRegion)).forEach(wanted::add);
        return wanted;
    }

    private boolean fallsToSelf(String name, List<NodeInfo> candidates) {
        List<NodeInfo> ranked = Rendezvous.rank(name, candidates, NodeInfo::node);
        return !ranked.isEmpty() && ranked.get(0).node().equals(self.node());
    }

    private boolean isFree(String engine) {
        Optional<ClaimTable.Holding> h = table.holder(engine);
        if (h.isEmpty()) {
            return true;
        }
        Optional<ClaimTable.Lease> l = table.lease(h.get().node(), h.get().incarnation());
        if (l.isEmpty()) {
            return false;
        }
        long lapse =
                l.get().readAtNanos() + (l.get().leaseMillis() + config.margin().toMillis()) * NANOS_PER_MILLI;
        return !holds(engine) && lapse - scheduler.nanoTime() < 0;
    }

    private CompletableFuture<Long> append(ClaimRecord r) {
        return log.append(config.stream(), ClaimCodec.encode(r));
    }
}
