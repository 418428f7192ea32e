package org.quetzalvane.core.team;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.quetzalvane.core.time.Scheduler;

/**
 * Scheduler of one node of a test: while the node is frozen, due tasks wait. While its machine is suspended, its
 * monotonic clock stands still as well.
 */
final class FreezableScheduler implements Scheduler {
    private final Scheduler clock;
    private final List<Runnable> waiting = new ArrayList<>();
    private boolean frozen;
    private boolean suspended;
    private long suspendedAt;
    private long stoodStillNanos;

    FreezableScheduler(Scheduler clock) {
        this.clock = clock;
    }

    void setFrozen(boolean on) {
        frozen = on;
        if (!on) {
            List<Runnable> due = List.copyOf(waiting);
            waiting.clear();
            due.forEach(Runnable::run);
        }
    }

    /** Freezes the node and may stop its monotonic clock, or ends both. */
    void setPaused(boolean on, boolean clockStops) {
        if (on && clockStops) {
            suspendedAt = nanoTime();
        } else if (suspended) {
            stoodStillNanos = clock.nanoTime() - suspendedAt;
        }
        suspended = on && clockStops;
        setFrozen(on);
    }

    boolean isFrozen() {
        return frozen;
    }

    /** Runs a task now, or once the node is thawed. */
    void run(Runnable task) {
        if (frozen) {
            waiting.add(task);
        } else {
            task.run();
        }
    }

    @Override
    public long nanoTime() {
        return suspended ? suspendedAt : clock.nanoTime() - stoodStillNanos;
    }

    @Override
    public long wallMillis() {
        return clock.wallMillis();
    }

    @Override
    public Timer schedule(Duration delay, Runnable task) {
        boolean[] cancelled = new boolean[1];
        Timer t = clock.schedule(
                delay,
                () -> run(() -> {
                    if (!cancelled[0]) {
                        task.run();
                    }
                }));
        return () -> {
            cancelled[0] = true;
            t.cancel();
        };
    }
}
