package org.quetzalvane.adapters.metrics;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadInfo;
import java.lang.management.ThreadMXBean;
import java.util.HashMap;
import java.util.Map;

/**
 * Processor time of the threads whose names begin with a prefix, in nanoseconds since the process started.
 *
 * <p>Never falls: a thread that ends keeps the time it had at the last reading; what it used after that is not
 * counted. Thread-safe.
 */
public final class ThreadCpuTime {
    private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    private final String prefix;
    private final Map<Long, Long> nanosByThread = new HashMap<>();

    public ThreadCpuTime(String prefix) {
        this.prefix = prefix;
    }

    /** Reads the time used so far. */
    public synchronized long totalNanos() {
        for (long id : threads.getAllThreadIds()) {
            ThreadInfo info = threads.getThreadInfo(id);
            if (info != null && info.getThreadName().startsWith(prefix)) {
                nanosByThread.merge(id, threads.getThreadCpuTime(id), Math::max);
            }
        }
        return nanosByThread.values().stream().mapToLong(Long::longValue).sum();
    }
}
