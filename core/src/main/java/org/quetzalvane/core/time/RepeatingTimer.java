package org.quetzalvane.core.time;

import java.time.Duration;

/**
 * Runs a task repeatedly by rescheduling it after each run. Thread-safe; a failing task does not end the repetition.
 */
final class RepeatingTimer implements Scheduler.Timer {
    private final Scheduler scheduler;
    private final Duration interval;
    private final Runnable task;
    private volatile boolean cancelled;
    private volatile Scheduler.Timer next;

    private RepeatingTimer(Scheduler scheduler, Duration interval, Runnable task) {
        this.scheduler = scheduler;
        this.interval = interval;
        this.task = task;
    }

    static RepeatingTimer start(Scheduler scheduler, Duration interval, Runnable task) {
        RepeatingTimer timer = new RepeatingTimer(scheduler, interval, task);
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
            next = scheduler.schedule(interval, this::run);
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
