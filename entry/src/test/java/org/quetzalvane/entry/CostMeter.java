package org.quetzalvane.entry;

import java.lang.management.ManagementFactory;
import java.util.Locale;

import com.sun.management.ThreadMXBean;

/** Sums the processor time and the allocated bytes of sections of one thread. Confined to that thread. */
final class CostMeter {
    private static final ThreadMXBean THREADS = (ThreadMXBean) ManagementFactory.getThreadMXBean();

    private long startNanos;
    private long startBytes;
    private long cpuNanos;
    private long bytes;
    private long count;

    /** Begins a section. */
    void begin() {
        startBytes = THREADS.getCurrentThreadAllocatedBytes();
        startNanos = THREADS.getCurrentThreadCpuTime();
    }

    /** Ends the section that was begun last. */
    void end() {
        cpuNanos += THREADS.getCurrentThreadCpuTime() - startNanos;
        bytes += THREADS.getCurrentThreadAllocatedBytes() - startBytes;
        count++;
    }

    void reset() {
        cpuNanos = 0;
        bytes = 0;
        count = 0;
    }

    boolean isEmpty() {
        return count == 0;
    }

    /** A table row with the time and the bytes, divided by {@code units} instead of by the number of sections. */
    String row(String name, double units) {
        return String.format(
                Locale.ROOT,
                "| %s | %.1f | %.1f | %.1f |",
                name,
                cpuNanos / units / 1_000,
                bytes / units / 1_024,
                count / units);
    }
}
