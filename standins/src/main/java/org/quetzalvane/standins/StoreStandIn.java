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
 * Stand-in for the weight store: a load takes 250 ms × ceil(n / 8), where n is the number of loads in flight at its
 * start, itself included.
 *
 * <p>{@code GET /control/usage} returns {@code max_in_flight}, {@code max_per_second} (loads started within any second)
 * and {@code total}. The counting fault {@code fail_loads} makes a load fail. Thread-safe.
 */
final class StoreStandIn {
    private static final long LOAD_MILLIS = 250;
    private static final int MAX_LOADS_IN_FLIGHT_AT_FULL_SPEED = 8;
    private static final long ONE_SECOND_NANOS = 1_000_000_000;
    private static final String FAIL_LOADS = "fail_loads";

    private final Scheduler scheduler;
    private final Faults faults = new Faults();
    private final Deque<Long> recentStartNanos = new ArrayDeque<>();
    private int inFlight;
    private int maxInFlight;
    private int maxPerSecond;
    private int totalLoads;

    StoreStandIn(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    JettyHttpServer.Builder routes(JettyHttpServer.Builder b) {
        return faults.routes(b)
                .route("GET", "/weights/", this::load)
                .route("GET", "/control/usage", e -> e.respond(200, usage()));
    }

    private void load(HttpExchange exchange) {
        if (faults.dropOnFault(exchange)) {
            return;
        }
        long millis = beginLoad() + faults.value(Faults.SLOW_MILLIS);
        boolean fails = faults.consume(FAIL_LOADS);
        scheduler.schedule(Duration.ofMillis(millis), () -> {
            synchronized (this) {
                inFlight--;
            }
            exchange.respond(fails ? 500 : 200, Json.object().put("weights", exchange.path()));
        });
    }

    private synchronized long beginLoad() {
        long now = scheduler.nanoTime();
        recentStartNanos.addLast(now);
        while (now - recentStartNanos.peekFirst() >= ONE_SECOND_NANOS) {
            recentStartNanos.removeFirst();
        }
        inFlight++;
        totalLoads++;
        maxInFlight = Math.max(maxInFlight, inFlight);
        maxPerSecond = Math.max(maxPerSecond, recentStartNanos.size());
        return LOAD_MILLIS
                * Math.max(1, (inFlight + MAX_LOADS_IN_FLIGHT_AT_FULL_SPEED - 1) / MAX_LOADS_IN_FLIGHT_AT_FULL_SPEED);
    }

    private synchronized ObjectNode usage() {
        return Json.object()
                .put("max_in_flight", maxInFlight)
                .put("max_per_second", maxPerSecond)
                .put("total", totalLoads);
    }
}
