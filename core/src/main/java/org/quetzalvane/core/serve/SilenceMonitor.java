package org.quetzalvane.core.serve;

import java.time.Duration;
import java.util.function.LongSupplier;

import org.quetzalvane.core.time.Scheduler;

/**
 * Reports when an attempt has made no progress for longer than a limit, and again at intervals until it goes on.
 * Confined to the event loop.
 */
final class SilenceMonitor {
    /** Interval at which a silence is reported again, ms. */
    private static final long REPEAT_INTERVAL_MS = 200;

    private final Scheduler scheduler;
    private final LongSupplier limitMs;
    private final Listener listener;
    private long lastProgressNanos;
    private long reportedProgressNanos = Long.MIN_VALUE;
    private boolean started;
    private Scheduler.Timer timer;

    /** Receives the reports. */
    interface Listener {
        /**
         * The attempt is silent.
         *
         * @param first whether this is the first report of this silence
         * @param silentMs time since the last progress, ms
         */
        void silent(boolean first, long silentMs);
    }

    /**
     * Creates a monitor; the time of its creation counts as progress.
     *
     * @param limitMs longest time without progress that is no silence, ms; asked for each check
     */
    SilenceMonitor(Scheduler scheduler, LongSupplier limitMs, Listener listener) {
        this.scheduler = scheduler;
        this.limitMs = limitMs;
        this.listener = listener;
        this.lastProgressNanos = scheduler.nanoTime();
    }

    void start() {
        started = true;
        checkAfter(limitMs.getAsLong());
    }

    void stop() {
        started = false;
        cancelTimer();
    }

    /** Stops counting while nothing is read from the endpoint. */
    void pause() {
        cancelTimer();
    }

    /** Counts again from now on. */
    void resume() {
        recordProgress();
        if (started) {
            cancelTimer();
            checkAfter(limitMs.getAsLong());
        }
    }

    void recordProgress() {
        lastProgressNanos = scheduler.nanoTime();
    }

    long lastProgressNanos() {
        return lastProgressNanos;
    }

    private void check() {
        long silentMs = (scheduler.nanoTime() - lastProgressNanos) / 1_000_000;
        long leftMs = limitMs.getAsLong() - silentMs;
        if (leftMs > 0) {
            checkAfter(leftMs);
            return;
        }
        checkAfter(REPEAT_INTERVAL_MS);
        boolean first = reportedProgressNanos != lastProgressNanos;
        reportedProgressNanos = lastProgressNanos;
        listener.silent(first, silentMs);
    }

    private void cancelTimer() {
        if (timer != null) {
            timer.cancel();
        }
    }

    private void checkAfter(long ms) {
        timer = scheduler.schedule(Duration.ofMillis(ms), this::check);
    }
}
