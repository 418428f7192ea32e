package org.quetzalvane.standins;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.quetzalvane.adapters.http.HttpExchange;
import org.quetzalvane.adapters.http.JettyHttpServer;
import org.quetzalvane.adapters.http.Json;
import org.quetzalvane.core.time.Scheduler;

/**
 * The weight store: a load takes a quarter of a second while at most 8 are in flight and proportionally longer beyond.
 *
 * <p>{@code GET /control/usage} tells the most loads seen in flight and within one second. The fault
 * {@code fail_loads} makes so many loads fail. Thread-safe.
 */
final class StoreStandIn {
    private static final long LOAD_MILLIS = 250;
    private static final int FULL_SPEED_IN_FLIGHT = 8;
    private static final long SECOND_NANOS = 1_000_000_000;
    private static final String FAIL_LOADS = "fail_loads";

    private final Scheduler scheduler;
    private final Faults faults = new Faults();
    private final Deque<Long> starts = new ArrayDeque<>();
    private int inFlight;
    private int maxInFlight;
    private int maxPerSecond;
    private int total;

    StoreStandIn(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    JettyHttpServer.Builder routes(JettyHttpServer.Builder b) {
        return faults.routes(b)
                .route("GET", "/weights/", this::load)
                .route("GET", "/control/usage", e -> e.respond(200, usage()));
    }

    private void load(HttpExchange e) {
        if (faults.dropped(e)) {
            return;
        }
        long millis = begin() + faults.value(Faults.SLOW_MILLIS);
        boolean fails = faults.take(FAIL_LOADS);
        scheduler.schedule(Duration.ofMillis(millis), () -> {
            synchronized (this) {
                inFlight--;
            }
            e.respond(fails ? 500 : 200, Json.object().put("weights", e.path()));
        });
    }

    private synchronized long begin() {
        long now = scheduler.nanoTime();
        starts.addLast(now);
        while (now - starts.peekFirst() >= SECOND_NANOS) {
            starts.removeFirst();
        }
        inFlight++;
        total++;
        maxInFlight = Math.max(maxInFlight, inFlight);
        maxPerSecond = Math.max(maxPerSecond, starts.size());
        return LOAD_MILLIS * Math.max(1, (inFlight + FULL_SPEED_IN_FLIGHT - 1) / FULL_SPEED_IN_FLIGHT);
    }

    private synchronized ObjectNode usage() {
        return Json.object()
                .put("max_in_flight", maxInFlight)
                .put("max_per_second", maxPerSecond)
                .put("total", total);
    }
}
