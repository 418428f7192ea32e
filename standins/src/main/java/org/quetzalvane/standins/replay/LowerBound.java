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
 * Lower bounds on a trace for policies that serve every request, even with knowledge of the future: of the sum of load
 * stalls for any policy, and of the number of loads for policies that serve in order of arrival. Immutable.
 *
 * <p>The stall counts only the first request of each adapter, with unlimited adapter slots and loads that start ahead
 * of demand from the start of the trace, limited only by the rate of the store. The number of loads is that of Belady's
 * algorithm over the adapter slots of all engines together, with requests served in order of arrival.
 *
 * @param stallMillis minimum sum of load stalls, in milliseconds
 * @param loads minimum number of loads when requests are served in order of arrival
 */
record LowerBound(long stallMillis, int loads) {
    private static final long NEVER = Long.MAX_VALUE;

    static LowerBound of(Trace trace) {
        List<TraceEvent.Arrival> arrivals = trace.events().stream()
                .filter(TraceEvent.Arrival.class::isInstance)
                .map(TraceEvent.Arrival.class::cast)
                .toList();
        return new LowerBound(leastStallMillis(trace.header(), arrivals), beladyLoads(trace.header(), arrivals));
    }

    private static long leastStallMillis(TraceHeader header, List<TraceEvent.Arrival> arrivals) {
        Set<String> seen = new HashSet<>();
        double sum = 0;
        for (TraceEvent.Arrival a : arrivals) {
            if (seen.add(a.adapter())) {
                double ready = (seen.size() - 1) * 1000 / header.loadsPerSecond() + header.loadMillis();
                sum += Math.max(0, ready - a.at());
            }
        }
        return (long) sum;
    }

    private static int beladyLoads(TraceHeader header, List<TraceEvent.Arrival> arrivals) {
        Map<String, Deque<Long>> upcomingUses = new HashMap<>();
        for (int i = 0; i < arrivals.size(); i++) {
            upcomingUses
                    .computeIfAbsent(arrivals.get(i).adapter(), k -> new ArrayDeque<>())
                    .add((long) i);
        }
        Set<String> resident = new HashSet<>();
        int loads = 0;
        for (TraceEvent.Arrival a : arrivals) {
            upcomingUses.get(a.adapter()).pollFirst();
            if (resident.contains(a.adapter())) {
                continue;
            }
            loads++;
            if (resident.size() == header.engines() * header.slots()) {
                resident.remove(resident.stream()
                        .max(Comparator.comparingLong(r -> nextUse(upcomingUses.get(r))))
                        .orElseThrow());
            }
            resident.add(a.adapter());
        }
        return loads;
    }

    private static long nextUse(Deque<Long> upcomingUses) {
        return upcomingUses.isEmpty() ? NEVER : upcomingUses.peekFirst();
    }
}
