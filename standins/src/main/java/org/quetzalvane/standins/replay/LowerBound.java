package org.quetzalvane.standins.replay;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What no policy can go below on a trace, even one that knows the future, if it serves every request. Immutable.
 *
 * <p>The stall is that of the first request of each adapter alone, with slots without number and loads ahead of demand
 * from the start of the trace on, limited only by the store's rate. The loads are those of Belady's rule over the
 * slots of all engines together, in the order of arrival.
 *
 * @param stallMillis least sum of load stalls, in milliseconds
 * @param loads least number of loads when requests are served in order of arrival
 */
record LowerBound(long stallMillis, int loads) {
    private static final long NEVER = Long.MAX_VALUE;

    static LowerBound of(Trace trace) {
        List<TraceEvent.Arrival> arrivals = trace.events().stream()
                .filter(TraceEvent.Arrival.class::isInstance)
                .map(TraceEvent.Arrival.class::cast)
                .toList();
        return new LowerBound(stall(trace.header(), arrivals), belady(trace.header(), arrivals));
    }

    private static long stall(TraceHeader h, List<TraceEvent.Arrival> arrivals) {
        Set<String> seen = new HashSet<>();
        double sum = 0;
        for (TraceEvent.Arrival a : arrivals) {
            if (seen.add(a.adapter())) {
                double ready = (seen.size() - 1) * 1000 / h.loadsPerSecond() + h.loadMillis();
                sum += Math.max(0, ready - a.at());
            }
        }
        return (long) sum;
    }

    private static int belady(TraceHeader h, List<TraceEvent.Arrival> arrivals) {
        Map<String, Deque<Long>> uses = new HashMap<>();
        for (int i = 0; i < arrivals.size(); i++) {
            uses.computeIfAbsent(arrivals.get(i).adapter(), k -> new ArrayDeque<>())
                    .add((long) i);
        }
        Set<String> resident = new HashSet<>();
        int loads = 0;
        for (TraceEvent.Arrival a : arrivals) {
            uses.get(a.adapter()).pollFirst();
            if (resident.contains(a.adapter())) {
                continue;
            }
            loads++;
            if (resident.size() == h.engines() * h.slots()) {
                resident.remove(resident.stream()
                        .max(Comparator.comparingLong(r -> nextUse(uses.get(r))))
                        .orElseThrow());
            }
            resident.add(a.adapter());
        }
        return loads;
    }

    private static long nextUse(Deque<Long> uses) {
        return uses.isEmpty() ? NEVER : uses.peekFirst();
    }
}
