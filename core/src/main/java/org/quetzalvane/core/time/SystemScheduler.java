package org.quetzalvane.core.time;

import java.time.Duration;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/** The scheduler of a running process, on the system clock. Thread-safe. */
public final class SystemScheduler implements Scheduler, AutoCloseable {
    private final ScheduledThreadPoolExecutor executor;

    /**
     * Creates a scheduler with up to the given number of timer threads, which start on demand; they are daemons and do
     * not keep the process alive.
     */
    public SystemScheduler(int threads) {
        executor = new ScheduledThreadPoolExecutor(threads, r -> {
            Thread t = new Thread(r, "timer");
            t.setDaemon(true);
            return t;
        });
        executor.setRemoveOnCancelPolicy(true);
    }

    @Override
    public long nanoTime() {
        return System.nanoTime();
    }

    @Override
    public long wallMillis() {
        return System.currentTimeMillis();
    }

    @Override
    public Timer schedule(Duration delay, Runnable task) {
        ScheduledFuture<?> f = executor.schedule(task, delay.toNanos(), TimeUnit.NANOSECONDS);
        return () -> f.cancel(false);
    }

    /** Stops the scheduler; pending tasks are dropped. */
    @Override
    public void close() {
        executor.shutdownNow();
    }
}
