package org.quetzalvane.core.time;

import java.time.Duration;
import java.util.PriorityQueue;

/**
 * A scheduler whose time only moves in {@link #advance(Duration)} and {@link #runUntil(long)}; for tests and trace
 * replay.
 *
 * <p>Due tasks run on the advancing thread, in order of due time and then of scheduling. Scheduling is thread-safe;
 * only one thread may advance the time.
 */
public final class ManualScheduler implements Scheduler {
    private final PriorityQueue<Task> queue = new PriorityQueue<>();
    private final long wallStartMillis;
    private long nowNanos;
    private long sequence;

    /** Creates a scheduler that starts at wall clock time zero. */
    public ManualScheduler() {
        this(0);
    }

    /** Creates a scheduler that starts at the given wall clock time, milliseconds since the epoch. */
    public ManualScheduler(long wallStartMillis) {
        this.wallStartMillis = wallStartMillis;
    }

    @Override
    public synchronized long nanoTime() {
        return nowNanos;
    }

    @Override
    public synchronized long wallMillis() {
        return wallStartMillis + nowNanos / 1_000_000;
    }

    @Override
    public synchronized Timer schedule(Duration delay, Runnable task) {
        Task t = new Task(nowNanos + Math.max(0, delay.toNanos()), sequence++, task);
        queue.add(t);
        return () -> t.cancelled = true;
    }

    /** Advances the time and runs every task that becomes due. */
    public void advance(Duration step) {
        runUntil(nanoTime() + step.toNanos());
    }

    /** Advances the time to the given instant in nanoseconds and runs every task that becomes due. */
    public void runUntil(long endNanos) {
        for (Task t = nextDue(endNanos); t != null; t = nextDue(endNanos)) {
            if (!t.cancelled) {
                t.body.run();
            }
        }
        synchronized (this) {
            nowNanos = Math.max(nowNanos, endNanos);
        }
    }

    /**
     * Removes the next task that is due by the given instant and advances the time to its due time; null if there is
     * none.
     */
    private synchronized Task nextDue(long endNanos) {
        Task t = queue.peek();
        if (t == null || t.dueNanos > endNanos) {
            return null;
        }
        queue.poll();
        nowNanos = Math.max(nowNanos, t.dueNanos);
        return t;
    }

    private static final class Task implements Comparable<Task> {
        private final long dueNanos;
        private final long sequence;
        private final Runnable body;
        private volatile boolean cancelled;

        Task(long dueNanos, long sequence, Runnable body) {
            this.dueNanos = dueNanos;
            this.sequence = sequence;
            this.body = body;
        }

        @Override
        public int compareTo(Task other) {
            int byDue = Long.compare(dueNanos, other.dueNanos);
            return byDue != 0 ? byDue : Long.compare(sequence, other.sequence);
        }
    }
}
