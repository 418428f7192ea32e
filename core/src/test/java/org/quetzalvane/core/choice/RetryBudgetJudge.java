package org.quetzalvane.core.choice;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.LongStream;

/**
 * Judges the arrivals at all endpoints of a service by the platform's rule: in no window do the arrivals beyond the first
 * of each request exceed the ratio of the requests plus the extra. The requests are those of the same window, the one
 * before it or the one half a window before it, whichever has most. Thread-safe.
 */
public final class RetryBudgetJudge {
    private final double ratio;
    private final double extra;
    private final long windowNanos;
    private final Map<String, Service> services = new HashMap<>();

    /**
     * A window with its repeats.
     *
     * @param service name of the service
     * @param startNanos start of the window
     * @param repeats arrivals beyond the first of each request
     * @param allowed repeats that are allowed
     */
    public record Window(String service, long startNanos, long repeats, double allowed) {
        public boolean exceeded() {
            return repeats > allowed;
        }

        double use() {
            return repeats / allowed;
        }
    }

    /** Creates a judge of a budget as {@link RetryBudgetShare} is given it. */
    public RetryBudgetJudge(double ratio, double extra, long windowMs) {
        this.ratio = ratio;
        this.extra = extra;
        this.windowNanos = windowMs * 1_000_000;
    }

    /** A caller sent a request for a service. */
    public synchronized void requested(String service, long nanos) {
        service(service).requests.add(nanos);
    }

    /** A request arrived at an endpoint of a service. */
    public synchronized void arrived(String service, String requestId, long nanos) {
        Service s = service(service);
        if (!s.arrivedIds.add(requestId)) {
            s.repeats.add(nanos);
        }
    }

    /** Number of arrivals beyond the first of each request. */
    public synchronized long repeats() {
        return services.values().stream().mapToLong(s -> s.repeats.size()).sum();
    }

    /** The window that uses most of what it is allowed; empty if nothing was repeated. */
    public synchronized Optional<Window> worst() {
        return services.entrySet().stream()
                .flatMap(s -> s.getValue().repeats.times().boxed().flatMap(t -> LongStream.of(t, t - windowNanos)
                        .mapToObj(start -> window(s.getKey(), s.getValue(), start))))
                .max((a, b) -> Double.compare(a.use(), b.use()));
    }

    private Window window(String name, Service s, long start) {
        long most = LongStream.of(start, start - windowNanos / 2, start - windowNanos)
                .map(from -> s.requests.count(from, from + windowNanos))
                .max()
                .orElseThrow();
        return new Window(name, start, s.repeats.count(start, start + windowNanos), ratio * most + extra);
    }

    private Service service(String name) {
        return services.computeIfAbsent(name, n -> new Service());
    }

    private static final class Service {
        private final Times requests = new Times();
        private final Times repeats = new Times();
        private final Set<String> arrivedIds = new HashSet<>();
    }

    /** Number of events up to each moment. */
    private static final class Times {
        private final TreeMap<Long, Long> counts = new TreeMap<>();

        void add(long nanos) {
            counts.merge(nanos, 1L, Long::sum);
        }

        long size() {
            return counts.values().stream().mapToLong(n -> n).sum();
        }

        LongStream times() {
            return counts.keySet().stream().mapToLong(t -> t);
        }

        long count(long from, long to) {
            return counts.subMap(from, true, to, true).values().stream()
                    .mapToLong(n -> n)
                    .sum();
        }
    }
}
