package org.quetzalvane.entry;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

import org.quetzalvane.platform.BootSettings;
import org.quetzalvane.platform.standin.CallerClient;

/**
 * Callers of several nodes, each of which sends its next request when it has the response to the last one. The id of a
 * request begins with the name of its node. Thread-safe, except for {@link #start} and {@link #stop}.
 */
final class ClosedLoopCallers implements AutoCloseable {
    private static final int MAX_REQUESTS_PER_CALLER = 300;
    /** Pause after a refusal, ms: the shortest retry time that nodes send. */
    private static final long REFUSAL_PAUSE_MS = 100;

    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final Queue<Result> results = new ConcurrentLinkedQueue<>();
    private final AtomicInteger ids = new AtomicInteger();
    private final List<Future<?>> running = new ArrayList<>();
    private final Consumer<Result> listener;
    private volatile boolean stopped;

    /** Creates callers whose listener receives each result on the thread of its caller. */
    ClosedLoopCallers(Consumer<Result> listener) {
        this.listener = listener;
    }

    /** Request with its complete response and the times at which it was sent and the response was read. */
    record Result(String id, String response, long sentNanos, long receivedNanos) {
        boolean isOk() {
            return response.startsWith("HTTP/1.1 200");
        }

        /** Whether the caller was told when to send the request again; status 503 states that it has not run. */
        boolean isRefusal() {
            return response.startsWith("HTTP/1.1 503") && hasHeader("retry-after");
        }

        boolean hasHeader(String name) {
            int end = response.indexOf("\r\n\r\n");
            return end >= 0
                    && response.substring(0, end).toLowerCase(Locale.ROOT).contains("\r\n" + name + ":");
        }
    }

    /** Name of the node that a request was sent to. */
    static String node(String id) {
        return id.substring(0, id.indexOf('-'));
    }

    /** Starts callers of each node that send requests for a path, with an adapter unless it is null. */
    void start(List<BootSettings> nodes, int perNode, String method, String path, String adapter) {
        stopped = false;
        for (BootSettings node : nodes) {
            for (int i = 0; i < perNode; i++) {
                running.add(threads.submit(() -> {
                    call(node, method, path, adapter);
                    return null;
                }));
            }
        }
    }

    /** Stops sending, waits for all responses and returns the results so far. */
    List<Result> stop() throws InterruptedException, ExecutionException {
        stopped = true;
        for (Future<?> f : running) {
            f.get();
        }
        running.clear();
        return List.copyOf(results);
    }

    private void call(BootSettings node, String method, String path, String adapter)
            throws IOException, InterruptedException {
        for (int i = 0; i < MAX_REQUESTS_PER_CALLER && !stopped; i++) {
            String id = node.nodeName() + "-" + ids.incrementAndGet();
            long sent = System.nanoTime();
            String response = CallerClient.send(node.callerAddress(), method, path, id, adapter);
            Result result = new Result(id, response, sent, System.nanoTime());
            results.add(result);
            listener.accept(result);
            if (!result.isOk()) {
                TimeUnit.MILLISECONDS.sleep(REFUSAL_PAUSE_MS);
            }
        }
    }

    @Override
    public void close() {
        stopped = true;
        threads.shutdownNow();
    }
}
