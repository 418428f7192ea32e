package org.quetzalvane.core.team;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import net.openhft.hashing.LongHashFunction;
import org.quetzalvane.core.time.Scheduler;

/**
 * The duties that this node holds, as its group of the platform's store last confirmed them.
 *
 * <p>A duty is a partition; each engine falls to one by its id. The group's generation is the fencing token. Where
 * engines check tokens, a duty stays in force while the store is away, since nobody else can obtain it then; where they
 * do not, it lapses with its lease. Confined to the event loop.
 */
public final class AssignmentLease {
    /** Part of the lease after which an unconfirmed duty is given up where tokens are not checked. */
    private static final double SAFE_PART = 0.7;

    /**
     * Time after the first duties were confirmed in which the peers join and tell what they hold, ms: two of their
     * reports and the way. Where all start at once, the first to join is dealt everything for a moment.
     */
    private static final long LISTEN_MS = 700;

    private final Scheduler scheduler;
    private final boolean tokensChecked;
    private final long leaseNanos;
    private final int partitions;
    private final PreviousOwner former;
    private final Map<Integer, Long> acquired = new HashMap<>();
    private final Set<Integer> begun = new HashSet<>();
    private final Map<Integer, Long> lastOrders = new HashMap<>();
    private long generation;
    private long refusedToken = -1;
    private long confirmedNanos;
    private long firstConfirmedNanos;
    private boolean everConfirmed;

    /** What is known of the nodes that held duties before. */
    @FunctionalInterface
    public interface PreviousOwner {
        /**
         * Whether some node that is up gave orders under a duty within the last lease, or may give one yet since it has
         * not heard of the generation.
         */
        boolean mayStillOrder(int duty, long generation);
    }

    /**
     * Builds the lease of a node that starts now.
     *
     * @param tokensChecked whether engines refuse orders with an outdated token
     * @param leaseMs time that must lie between the orders of two holders that both work, milliseconds
     * @param partitions number of duties
     * @param former what is known of those who held duties before
     */
    public AssignmentLease(
            Scheduler scheduler, boolean tokensChecked, long leaseMs, int partitions, PreviousOwner former) {
        this.former = former;
        this.scheduler = scheduler;
        this.tokensChecked = tokensChecked;
        this.leaseNanos = leaseMs * 1_000_000;
        this.partitions = partitions;
    }

    /** The duty that an engine falls to. */
    public int partitionOf(String engine) {
        return (int) Long.remainderUnsigned(LongHashFunction.xx3().hashChars(engine), partitions);
    }

    /** Takes the group's answer to a request sent at {@code sentNanos}; tells whether the duties changed. */
    public boolean update(long newGeneration, Set<Integer> held, long sentNanos) {
        if (newGeneration < generation) {
            return false;
        }
        boolean changed = !held.equals(acquired.keySet()) || newGeneration != generation;
        if (!everConfirmed) {
            everConfirmed = true;
            firstConfirmedNanos = scheduler.nanoTime();
        }
        generation = newGeneration;
        confirmedNanos = sentNanos;
        acquired.keySet().retainAll(held);
        begun.retainAll(held);
        held.forEach(p -> acquired.putIfAbsent(p, scheduler.nanoTime()));
        return changed;
    }

    /** Takes note that an engine refused a token, so that no order goes out under it again. */
    public void tokenRejected(long token) {
        refusedToken = Math.max(refusedToken, token);
    }

    public boolean owns(int partition) {
        return acquired.containsKey(partition);
    }

    public Set<Integer> owned() {
        return Set.copyOf(acquired.keySet());
    }

    public long generation() {
        return generation;
    }

    /**
     * Whether orders under a duty may begin: at once when its former holder is gone, is being stopped or gave no order
     * for a lease, else a lease after the duty was acquired.
     */
    private boolean mayBegin(int partition) {
        Long since = acquired.get(partition);
        long now = scheduler.nanoTime();
        if (since == null || now - firstConfirmedNanos < LISTEN_MS * 1_000_000) {
            return false;
        }
        return now - since >= leaseNanos || !former.mayStillOrder(partition, generation);
    }

    /** Counts an order that goes out under a duty. */
    public void recordOrder(int partition) {
        lastOrders.put(partition, scheduler.nanoTime());
    }

    /** Duties under which this node gave orders within the last lease, those that it has lost since included. */
    public Set<Integer> recentlyOrdered() {
        long now = scheduler.nanoTime();
        lastOrders.values().removeIf(at -> now - at >= leaseNanos);
        return Set.copyOf(lastOrders.keySet());
    }

    /** The token for orders under a duty, or -1 while none may be given. */
    public long token(int partition) {
        if (!begun.contains(partition)) {
            if (!mayBegin(partition)) {
                return -1;
            }
            begun.add(partition);
        }
        boolean fresh = tokensChecked || scheduler.nanoTime() - confirmedNanos < leaseNanos * SAFE_PART;
        return owns(partition) && fresh && generation > refusedToken ? generation : -1;
    }
}
