package org.quetzalvane.core.serve;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

import org.quetzalvane.core.routes.Route;

/**
 * Times that the newest requests of each route took from their arrival to their complete response. Confined to the
 * event loop.
 */
final class RunTimes {
    /** Requests of a route that are kept. */
    private static final int MAX_REQUESTS = 64;

    private static final double USUAL_QUANTILE = 0.9;
    /** Routes that are kept, beyond which all are forgotten, so that removed routes do not accumulate. */
    private static final int MAX_ROUTES = 1_000;

    private final Map<String, Deque<Long>> byRoute = new HashMap<>();

    /** A request of the route was served in the given time. */
    void record(Route route, long ms) {
        if (byRoute.size() >= MAX_ROUTES && !byRoute.containsKey(route.name())) {
            byRoute.clear();
        }
        Deque<Long> times = byRoute.computeIfAbsent(route.name(), name -> new ArrayDeque<>(MAX_REQUESTS));
        if (times.size() == MAX_REQUESTS) {
            times.removeFirst();
        }
        times.addLast(ms);
    }

    /**
     * Time within which most of the kept requests of the route were served, ms; the timeout of the route if none was
     * served yet.
     */
    long usualMs(Route route) {
        Deque<Long> times = byRoute.get(route.name());
        if (times == null) {
            return route.timeoutMs();
        }
        int index = (int) Math.ceil(USUAL_QUANTILE * times.size()) - 1;
        return times.stream().sorted().skip(index).findFirst().orElseThrow();
    }
}
