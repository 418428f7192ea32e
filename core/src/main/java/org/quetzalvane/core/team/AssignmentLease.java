package org.quetzalvane.core.team;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import net.openhft.hashing.LongHashFunction;
import org.quetzalvane.core.time.Scheduler;
import org.quetzalvane.core.time.Stopwatch;

/**
 * The partitions assigned to this node, as last confirmed by the assignment group of the platform's store.
 *
 * <p>Each engine belongs to one partition by the hash of its id. The generation of the group is used as the fencing
 * token. If engines check fencing tokens, an assignment is valid until the store revokes it, also while the store
 * cannot be reached, because no other node can obtain the assignment then. Otherwise an assignment is valid for {@link
 * #SAFE_LEASE_FRACTION} of the lease after the last confirmation. Confined to the event loop.
 */
public final class AssignmentLease {
    /**
     * Fraction of the lease after which an unconfirmed assignment is given up if engines do not check fencing tokens.
     */
    private static final double SAFE_LEASE_FRACTION = 0.7;

    /**
     * Time from the first confirmed assignment until orders may start, ms, so that the status of each peer arrives
     * first: two status intervals (600) and 100 for the network. The group may assign all partitions to the first node
     * that joins when all nodes start at once. Where engines check fencing tokens, a node that resumes its
     * assignment of an earlier run waits no longer once it has heard from each other owner.
     */
    private static final long PEER_DISCOVERY_MS = 700;

    /**
     * Time within which an owner that reaches the store learns that a partition was assigned to another node, ms: the
     * interval between joins and a slow answer.
     */
    private static final long HANDOVER_MS = 1_000;

    private final Scheduler scheduler;
    private final boolean fencingEnforced;
    private final long leaseNanos;
    private final int partitions;
    private final PreviousOwner previousOwner;
    private final Map<Integer, Long> acquiredNanos = new HashMap<>();
    /** Partitions under which this node may send orders since {@link #mayStartOrdering} held once. */
    private final Set<Integer> orderingStarted = new HashSet<>();

    private final Map<Integer, Long> lastOrderNanos = new HashMap<>();
    private long generation;
    private long rejectedToken = -1;
    /** Runs since the last confirmed request to the group was sent. */
    private Stopwatch sinceConfirmed;

    private long firstConfirmedNanos;
    private boolean everConfirmed;

    /** Known state of the previous owners of partitions. */
    @FunctionalInterface
    public interface PreviousOwner {
        /**
         * Whether a node that is up may still send orders under a partition, or sent orders within the last lease,
         * although this node owns the partition in the generation.
         *
         * @param generation generation that the previous owner must have seen
         */
        boolean mayStillOrder(int partition, long generation);

        /**
         * Whether this node resumes its assignment of an earlier run of its process, and has the status of each other
         * owner that the group listed then.
         */
        default boolean allOwnersHeard() {
            return false;
        }
    }

    /**
     * Creates the lease of a node that starts now.
     *
     * @param fencingEnforced whether engines reject orders with an outdated fencing token
     * @param leaseMs time that must pass between the orders of two owners that are both up, milliseconds
     * @param partitions number of partitions
     * @param previousOwner known state of the previous owners
     */
    public AssignmentLease(
            Scheduler scheduler, boolean fencingEnforced, long leaseMs, int partitions, PreviousOwner previousOwner) {
        this.previousOwner = previousOwner;
        this.scheduler = scheduler;
        this.fencingEnforced = fencingEnforced;
        this.leaseNanos = leaseMs * 1_000_000;
        this.partitions = partitions;
    }

    /** The partition that an engine belongs to. */
    public int partitionOf(String engine) {
        return (int) Long.remainderUnsigned(LongHashFunction.xx3().hashChars(engine), partitions);
    }

    /**
     * Applies the group's response to a request; returns whether the partitions or the generation changed. A response
     * of an older generation is ignored.
     *
     * @param sinceSent runs since the request was sent
     */
    public boolean update(long newGeneration, Set<Integer> assigned, Stopwatch sinceSent) {
        if (newGeneration < generation) {
            return false;
        }
        boolean changed = !assigned.equals(acquiredNanos.keySet()) || newGeneration != generation;
        if (!everConfirmed) {
            everConfirmed = true;
            firstConfirmedNanos = scheduler.nanoTime();
        }
        generation = newGeneration;
        sinceConfirmed = sinceSent;
        acquiredNanos.keySet().retainAll(assigned);
        orderingStarted.retainAll(assigned);
        assigned.forEach(p -> acquiredNanos.putIfAbsent(p, scheduler.nanoTime()));
        return changed;
    }

    /** Gives up all partitions, for a node that leaves the group; a later assignment starts as the first one does. */
    public void release() {
        acquiredNanos.clear();
        orderingStarted.clear();
        everConfirmed = false;
    }

    /** Records that an engine rejected a fencing token, so that no further order is sent under it or an older one. */
    public void tokenRejected(long token) {
        rejectedToken = Math.max(rejectedToken, token);
    }

    public boolean owns(int partition) {
        return acquiredNanos.containsKey(partition);
    }

    public Set<Integer> owned() {
        return Set.copyOf(acquiredNanos.keySet());
    }

    public long generation() {
        return generation;
    }

    /**
     * Whether orders under a partition may start: false until the peers are known; then true if no previous
     * owner may still send orders, or if one lease has passed since a previous owner that reaches the store must have
     * stopped. One that does not reach it may go on for as long as it is cut off.
     */
    private boolean mayStartOrdering(int partition) {
        Long acquired = acquiredNanos.get(partition);
        long now = scheduler.nanoTime();
        boolean peersKnown = now - firstConfirmedNanos >= PEER_DISCOVERY_MS * 1_000_000
                || fencingEnforced && previousOwner.allOwnersHeard();
        if (acquired == null || !peersKnown) {
            return false;
        }
        boolean previousStopped = now - acquired >= leaseNanos + HANDOVER_MS * 1_000_000;
        return previousStopped || !previousOwner.mayStillOrder(partition, generation);
    }

    /** Records that an order was sent under a partition. */
    public void recordOrder(int partition) {
        lastOrderNanos.put(partition, scheduler.nanoTime());
    }

    /** Partitions under which this node sent orders within the last lease, including those that it has lost since. */
    public Set<Integer> recentlyOrdered() {
        long now = scheduler.nanoTime();
        lastOrderNanos.values().removeIf(at -> now - at >= leaseNanos);
        return Set.copyOf(lastOrderNanos.keySet());
    }

    /**
     * The fencing token for orders under a partition, or -1 while no order may be sent. Once {@link #mayStartOrdering}
     * has held, it is not checked again while the partition stays assigned.
     */
    public long tokenForOrder(int partition) {
        if (!orderingStarted.contains(partition)) {
            if (!mayStartOrdering(partition)) {
                return -1;
            }
            orderingStarted.add(partition);
        }
        boolean valid = fencingEnforced || sinceConfirmed.elapsedMs() * 1_000_000 < leaseNanos * SAFE_LEASE_FRACTION;
        return owns(partition) && valid && generation > rejectedToken ? generation : -1;
    }
}
