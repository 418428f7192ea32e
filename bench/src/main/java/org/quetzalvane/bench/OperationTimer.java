package org.quetzalvane.bench;

import java.util.Locale;
import java.util.function.IntConsumer;

import org.HdrHistogram.Histogram;
import org.quetzalvane.core.time.SystemScheduler;

/** Measures the latency of operations after a warm-up and prints rows of a Markdown table. Not thread-safe. */
final class OperationTimer {
    static final String HEADER = "| operation | p50 us | p99 us | p99.9 us |\n|---|---|---|---|";

    private static final int WARM_UP_CALLS = 20_000;
    private static final int MEASURED_CALLS = 100_000;
    private static final double NANOS_PER_MICRO = 1000;

    private final SystemScheduler clock;

    OperationTimer(SystemScheduler clock) {
        this.clock = clock;
    }

    /** Measures an operation, called with consecutive numbers from 0, with the default numbers of calls. */
    void measure(String name, IntConsumer operation) {
        measure(name, WARM_UP_CALLS, MEASURED_CALLS, operation);
    }

    /**
     * Measures an operation, called with consecutive numbers from 0; the first {@code warmUpCalls} calls are not
     * measured.
     */
    void measure(String name, int warmUpCalls, int measuredCalls, IntConsumer operation) {
        for (int i = 0; i < warmUpCalls; i++) {
            operation.accept(i);
        }
        Histogram nanos = new Histogram(3);
        for (int i = warmUpCalls; i < warmUpCalls + measuredCalls; i++) {
            long start = clock.nanoTime();
            operation.accept(i);
            nanos.recordValue(clock.nanoTime() - start);
        }
        System.out.printf(
                Locale.ROOT,
                "| %s | %.2f | %.2f | %.2f |%n",
                name,
                nanos.getValueAtPercentile(50) / NANOS_PER_MICRO,
                nanos.getValueAtPercentile(99) / NANOS_PER_MICRO,
                nanos.getValueAtPercentile(99.9) / NANOS_PER_MICRO);
    }
}
