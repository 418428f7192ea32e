package org.quetzalvane.adapters.metrics;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadInfo;
import java.lang.management.ThreadMXBean;
import java.util.HashMap;
import java.util.Map;

/**
 * Measures the CPU time of the threads whose names start with a given prefix.
 *
 * <p>The total does not decrease: a terminated thread keeps the time of its last reading, and what it used after that
 * reading is not counted. Thread-safe.
 */
public final class ThreadCpuTime {
    private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    private final String threadNamePrefix;
    private final Map<Long, Long> cpuNanosByThreadId = new HashMap<>();

    public ThreadCpuTime(String threadNamePrefix) {
        this.threadNamePrefix = threadNamePrefix;
    }

    /**
     * Returns the CPU time in nanoseconds of all matching threads that any call of this method has seen; time that a
     * thread used after its last reading is not included.
     */
    public synchronized long totalNanos() {
        for (long id : threads.getAllThreadIds()) {
            ThreadInfo info = threads.getThreadInfo(id);
            if (info != null && info.getThreadName().startsWith(threadNamePrefix)) {
                cpuNanosByThreadId.merge(id, threads.getThreadCpuTime(id), Math::max);
            }
        }
        return cpuNanosByThreadId.values().stream().mapToLong(Long::longValue).sum();
    }
}
