package org.quetzalvane.standins.replay;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.exc.QuetzalvaneException;
import org.quetzalvane.core.port.LogBatch;
import org.quetzalvane.core.port.LogPort;
import org.quetzalvane.core.time.Scheduler;

/** Fake log service in memory, with a delay and outages. Not thread-safe. */
final class FakeLog {
    private static final Duration EXECUTION_DELAY = Duration.ofMillis(5);

    private final Map<String, List<byte[]>> streams = new HashMap<>();
    private boolean down;
    private long appends;

    void setDown(boolean isDown) {
        down = isDown;
    }

    long appends() {
        return appends;
    }

    void append(String stream, byte[] data) {
        streams.computeIfAbsent(stream, s -> new ArrayList<>()).add(data);
    }

    /**
     * Returns the log port of one node; appends and reads are executed 5 ms later on the given scheduler, which is that
     * of the node: they wait while the node is frozen and are dropped once it is killed.
     */
    LogPort port(Scheduler scheduler) {
        return new LogPort() {
            @Override
            public CompletableFuture<Long> append(String stream, byte[] data) {
                return afterDelay(scheduler, () -> {
                    appends++;
                    FakeLog.this.append(stream, data);
                    return (long) streams.get(stream).size() - 1;
                });
            }

            @Override
            public CompletableFuture<LogBatch> read(String stream, long from, int maxRecords) {
                return afterDelay(scheduler, () -> batch(stream, (int) from, maxRecords));
            }
        };
    }

    private LogBatch batch(String stream, int from, int max) {
        List<byte[]> all = streams.getOrDefault(stream, List.of());
        List<LogBatch.LogRecord> records = new ArrayList<>();
        for (int i = from; i < Math.min(all.size(), from + max); i++) {
            records.add(new LogBatch.LogRecord(i, all.get(i)));
        }
        return new LogBatch(records, all.size());
    }

    private <T> CompletableFuture<T> afterDelay(Scheduler scheduler, java.util.function.Supplier<T> action) {
        CompletableFuture<T> result = new CompletableFuture<>();
        scheduler.schedule(EXECUTION_DELAY, () -> {
            if (down) {
                result.completeExceptionally(
                        new QuetzalvaneException(ResultCode.LOG_UNAVAILABLE, "log service is down"));
            } else {
                result.complete(action.get());
            }
        });
        return result;
    }
}
