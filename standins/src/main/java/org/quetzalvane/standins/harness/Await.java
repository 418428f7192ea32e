package org.quetzalvane.standins.harness;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;

import org.quetzalvane.core.time.Scheduler;
import org.quetzalvane.core.time.SystemScheduler;

/** Waits for conditions of other processes. Thread-safe. */
public final class Await {
    private static final SystemScheduler SCHEDULER = new SystemScheduler(2);
    private static final Duration PERIOD = Duration.ofMillis(20);

    private Await() {}

    /** Waits until a condition holds; fails with {@link IllegalStateException} after the limit. */
    public static void until(String what, Duration limit, BooleanSupplier condition) {
        CompletableFuture<Void> held = new CompletableFuture<>();
        Scheduler.Timer timer = SCHEDULER.repeat(PERIOD, () -> {
            if (condition.getAsBoolean()) {
                held.complete(null);
            }
        });
        try {
            held.get(limit.toMillis(), TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            throw new IllegalStateException("not within " + limit + ": " + what, e);
        } catch (InterruptedException | ExecutionException e) {
            throw new IllegalStateException(what, e);
        } finally {
            timer.cancel();
        }
    }

    /** Lets time pass on the clock of the machine, for what must not happen meanwhile. */
    public static void pause(Duration time) {
        CompletableFuture<Void> over = new CompletableFuture<>();
        SCHEDULER.schedule(time, () -> over.complete(null));
        over.join();
    }
}
