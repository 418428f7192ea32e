package org.quetzalvane.core.time;

import java.time.Duration;

/**
 * Runs a task repeatedly by rescheduling it after each run. Thread-safe; a failing task does not end the repetition.
 */
final class RepeatingTimer implements Scheduler.Timer {
    private final Scheduler scheduler;
    private final Duration period;
    private final Runnable task;
    private volatile boolean cancelled;
    private volatile Scheduler.Timer next;

    private RepeatingTimer(Scheduler scheduler, Duration period, Runnable task) {
        this.scheduler = scheduler;
        this.period = period;
        this.task = task;
    }

    static RepeatingTimer start(Scheduler scheduler, Duration period, Runnable task) {
        RepeatingTimer timer = new RepeatingTimer(scheduler, period, task);
        timer.arm();
        return timer;
    }

    @Override
    public void cancel() {
        cancelled = true;
        Scheduler.Timer t = next;
        if (t != null) {
            t.cancel();
        }
    }

    private void arm() {
        if (!cancelled) {
            next = scheduler.schedule(period, this::run);
        }
    }

    private void run() {
        if (cancelled) {
            return;
        }
        try {
            task.run();
        } finally {
            arm();
        }
    }
}
