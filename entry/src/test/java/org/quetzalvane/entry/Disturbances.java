package org.quetzalvane.entry;

import java.util.HashMap;
import java.util.Map;

/** When the store and the nodes are disturbed; the disturbances of one may overlap. Thread-safe. */
final class Disturbances {
    private final Map<String, Integer> current = new HashMap<>();
    private final Map<String, Long> lastEndNanos = new HashMap<>();

    synchronized void begin(String name) {
        current.merge(name, 1, Integer::sum);
    }

    synchronized void end(String name) {
        current.merge(name, -1, Integer::sum);
        lastEndNanos.put(name, System.nanoTime());
    }

    /** Whether one was not disturbed from a time before a moment until now. */
    synchronized boolean calm(String name, long nanos, long beforeMs) {
        Long end = lastEndNanos.get(name);
        return current.getOrDefault(name, 0) == 0 && (end == null || nanos - end >= beforeMs * 1_000_000);
    }
}
