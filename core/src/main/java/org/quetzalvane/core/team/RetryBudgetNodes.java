package org.quetzalvane.core.team;

import java.util.HashMap;
import java.util.Map;

import org.quetzalvane.core.time.Scheduler;

/**
 * Number of nodes that share the retry budget.
 *
 * <p>A node that fell silent may go on beyond a cut link and use its part, so it counts for {@link #SILENT_MS}. One
 * that announced that it leaves counts for {@link #LEFT_MS}, until its retries are out of the window. A new node counts
 * at once. Confined to the event loop.
 */
final class RetryBudgetNodes {
    /** Time for which a node counts that has left, ms: the window of the budget, usually 10 s, and a margin. */
    private static final long LEFT_MS = 12_000;
    /** Time for which a silent node counts, ms; a cut that lasts longer raises the share of each node. */
    private static final long SILENT_MS = 300_000;

    private final Scheduler scheduler;
    private final String self;
    private final Map<String, Seen> seenByAddress = new HashMap<>();

    private record Seen(long atNanos, boolean leaving) {}

    RetryBudgetNodes(Scheduler scheduler, String self) {
        this.scheduler = scheduler;
        this.self = self;
    }

    /** A node is up. */
    void up(String address, boolean leaving) {
        Seen before = seenByAddress.get(address);
        boolean stillLeaving = leaving && before != null && before.leaving;
        seenByAddress.put(address, stillLeaving ? before : new Seen(scheduler.nanoTime(), leaving));
    }

    /** The store or a peer lists a node; the list may be older than the word of the node that it leaves. */
    void listed(String address) {
        Seen before = seenByAddress.get(address);
        if (before == null || !before.leaving) {
            seenByAddress.put(address, new Seen(scheduler.nanoTime(), false));
        }
    }

    /** Nodes that share the budget, including this one; 0 if no other is known, unless the store lists this one. */
    int count() {
        long now = scheduler.nanoTime();
        seenByAddress.values().removeIf(s -> now - s.atNanos >= (s.leaving ? LEFT_MS : SILENT_MS) * 1_000_000);
        int known = seenByAddress.size();
        return known == 0 || seenByAddress.containsKey(self) ? known : known + 1;
    }
}
