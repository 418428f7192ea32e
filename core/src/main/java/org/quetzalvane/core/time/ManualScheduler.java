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
    private long now;
    private long sequence;

    /** Creates a scheduler that starts at wall clock time zero. */
    public ManualScheduler() {
        this(0);
    }

    public ManualScheduler(long wallStartMillis) {
        this.wallStartMillis = wallStartMillis;
    }

    @Override
    public synchronized long nanoTime() {
        return now;
    }

    @Override
    public synchronized long wallMillis() {
        return wallStartMillis + now / 1_000_000;
    }

    @Override
    public synchronized Timer schedule(Duration delay, Runnable task) {
        Task t = new Task(now + Math.max(0, delay.toNanos()), sequence++, task);
        queue.add(t);
        return () -> t.cancelled = true;
    }

    /** Advances the time and runs every task that becomes due. */
    public void advance(Duration step) {
        runUntil(nanoTime() + step.toNanos());
    }

    /** Advances the time to the given instant in nanoseconds and runs every task that becomes due. */
    public void runUntil(long end) {
        for (Task t = nextDue(end); t != null; t = nextDue(end)) {
            if (!t.cancelled) {
                t.body.run();
            }
        }
        synchronized (this) {
            now = Math.max(now, end);
        }
    }

    private synchronized Task nextDue(long end) {
        Task t = queue.peek();
        if (t == null || t.due > end) {
            return null;
        }
        queue.poll();
        now = Math.max(now, t.due);
        return t;
    }

    private static final class Task implements Comparable<Task> {
        private final long due;
        private final long sequence;
        private final Runnable body;
        private volatile boolean cancelled;

        Task(long due, long sequence, Runnable body) {
            this.due = due;
            this.sequence = sequence;
            this.body = body;
        }

        @Override
        public int compareTo(Task other) {
            int byDue = Long.compare(due, other.due);
            return byDue != 0 ? byDue : Long.compare(sequence, other.sequence);
        }
    }
}
