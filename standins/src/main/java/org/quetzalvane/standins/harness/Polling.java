package org.quetzalvane.standins.harness;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;

import org.quetzalvane.core.time.Scheduler;
import org.quetzalvane.core.time.SystemScheduler;

/** Waits for conditions on other processes. Thread-safe. */
public final class Polling {
    private static final SystemScheduler SCHEDULER = new SystemScheduler(2);
    private static final Duration POLL_INTERVAL = Duration.ofMillis(20);

    private Polling() {}

    /**
     * Polls a condition until it holds; an exception thrown by the condition counts as false. Fails with
     * {@link IllegalStateException} after the timeout.
     */
    public static void waitUntil(String description, Duration timeout, BooleanSupplier condition) {
        CompletableFuture<Void> fulfilled = new CompletableFuture<>();
        Scheduler.Timer timer = SCHEDULER.repeat(POLL_INTERVAL, () -> {
            if (condition.getAsBoolean()) {
                fulfilled.complete(null);
            }
        });
        try {
            fulfilled.get(timeout.toMillis(), TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            throw new IllegalStateException("condition not met within " + timeout + ": " + description, e);
        } catch (InterruptedException | ExecutionException e) {
            throw new IllegalStateException(description, e);
        } finally {
            timer.cancel();
        }
    }

    /** Waits for a duration of real time, for example to verify that something does not happen in it. */
    public static void sleep(Duration duration) {
        CompletableFuture<Void> elapsed = new CompletableFuture<>();
        SCHEDULER.schedule(duration, () -> elapsed.complete(null));
        elapsed.join();
    }
}
