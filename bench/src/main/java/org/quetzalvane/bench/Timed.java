package org.quetzalvane.bench;

import java.util.Locale;
import java.util.function.IntConsumer;

import org.HdrHistogram.Histogram;
import org.quetzalvane.core.time.SystemScheduler;

/** Times an operation after a warm-up and prints a row of a Markdown table. Not thread-safe. */
final class Timed {
    static final String HEADER = "| operation | p50 us | p99 us | p99.9 us |\n|---|---|---|---|";

    private static final int WARM_UP = 20_000;
    private static final int SAMPLES = 100_000;
    private static final double NANOS_PER_MICRO = 1000;

    private final SystemScheduler clock;

    Timed(SystemScheduler clock) {
        this.clock = clock;
    }

    /** Runs the operation with the numbers from 0 up. */
    void row(String name, IntConsumer operation) {
        row(name, WARM_UP, SAMPLES, operation);
    }

    /** Runs the operation as often as told. */
    void row(String name, int warmUp, int samples, IntConsumer operation) {
        for (int i = 0; i < warmUp; i++) {
            operation.accept(i);
        }
        Histogram nanos = new Histogram(3);
        for (int i = warmUp; i < warmUp + samples; i++) {
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
