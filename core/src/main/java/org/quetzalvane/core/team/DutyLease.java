package org.quetzalvane.core.team;

import java.util.HashMap;
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
public final class DutyLease {
    /** Part of the lease after which an unconfirmed duty is given up where tokens are not checked. */
    private static final double SAFE_PART = 0.7;

    private final Scheduler scheduler;
    private final boolean tokensChecked;
    private final long leaseNanos;
    private final int partitions;
    private final Map<Integer, Long> acquired = new HashMap<>();
    private long generation;
    private long refusedToken = -1;
    private long confirmedNanos;

    public DutyLease(Scheduler scheduler, boolean tokensChecked, long leaseMs, int partitions) {
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
    public boolean confirmed(long newGeneration, Set<Integer> held, long sentNanos) {
        if (newGeneration < generation) {
            return false;
        }
        boolean changed = !held.equals(acquired.keySet()) || newGeneration != generation;
        generation = newGeneration;
        confirmedNanos = sentNanos;
        acquired.keySet().retainAll(held);
        held.forEach(p -> acquired.putIfAbsent(p, scheduler.nanoTime()));
        return changed;
    }

    /** Takes note that an engine refused a token, so that no order goes out under it again. */
    public void refused(long token) {
        refusedToken = Math.max(refusedToken, token);
    }

    public boolean holds(int partition) {
        return acquired.containsKey(partition);
    }

    public Set<Integer> held() {
        return Set.copyOf(acquired.keySet());
    }

    public long generation() {
        return generation;
    }

    /** When orders under a duty may begin: a lease after it was acquired, so that an earlier holder's has run out. */
    public long firstOrderNanos(int partition) {
        return acquired.getOrDefault(partition, scheduler.nanoTime()) + leaseNanos;
    }

    /** The token for orders under a duty, or -1 while none may be given. */
    public long token(int partition) {
        boolean fresh = tokensChecked || scheduler.nanoTime() - confirmedNanos < leaseNanos * SAFE_PART;
        return holds(partition) && fresh && generation > refusedToken ? generation : -1;
    }
}
