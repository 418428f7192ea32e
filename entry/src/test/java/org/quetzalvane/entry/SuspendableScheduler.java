package org.quetzalvane.entry;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

import org.quetzalvane.core.time.ManualScheduler;
import org.quetzalvane.core.time.Scheduler;

/**
 * The view that one process has of a paused clock: while the process is frozen its tasks wait, and its time goes on.
 * Single-threaded.
 */
final class SuspendableScheduler implements Scheduler {
    private final ManualScheduler clock;
    private final Deque<Runnable> waiting = new ArrayDeque<>();
    private boolean frozen;
    private boolean killed;

    SuspendableScheduler(ManualScheduler clock) {
        this.clock = clock;
    }

    @Override
    public long nanoTime() {
        return clock.nanoTime();
    }

    @Override
    public long wallMillis() {
        return clock.wallMillis();
    }

    @Override
    public Timer schedule(Duration delay, Runnable task) {
        return clock.schedule(delay, () -> run(task));
    }

    boolean running() {
        return !frozen && !killed;
    }

    void freeze() {
        frozen = true;
    }

    /** Runs the tasks that became due meanwhile, in their order. */
    void thaw() {
        frozen = false;
        while (!waiting.isEmpty() && running()) {
            waiting.poll().run();
        }
    }

    /** Runs no task any more. */
    void kill() {
        killed = true;
        waiting.clear();
    }

    private void run(Runnable task) {
        if (running()) {
            task.run();
        } else if (!killed) {
            waiting.add(task);
        }
    }
}
