package org.quetzalvane.entry;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.UnaryOperator;

import org.quetzalvane.platform.standin.CallerClient;
import org.quetzalvane.platform.standin.EndpointStandIn;
import org.quetzalvane.platform.standin.PlatformStoreStandIn;
import org.quetzalvane.platform.standin.SampleConfig;
import org.quetzalvane.transport.ServerExchange;

/**
 * Nodes in processes of their own whose callers do not wait long for responses, while nodes are held up for about a
 * second at moments drawn from a seed. Confined to one thread, except for what callers and endpoints see.
 */
final class GoneSoak implements AutoCloseable {
    private static final int ENDPOINTS = 3;
    private static final int CALLERS_PER_NODE = 8;
    private static final int MAX_PATIENCE_MS = 700;
    private static final int LARGE_BYTES = 40_000;
    private static final int MAX_QUEUED = 12;

    private final Random random;
    private final Path directory;
    private final PlatformStoreStandIn store = new PlatformStoreStandIn();
    private final GoneJudge judge = new GoneJudge();
    private final List<EntryProcess> nodes = new ArrayList<>();
    private final List<EndpointStandIn> endpoints = new ArrayList<>();
    private final AtomicInteger answered = new AtomicInteger();
    private final List<String> failures = new CopyOnWriteArrayList<>();
    private volatile boolean ended;

    GoneSoak(long seed, Path directory) {
        this.random = new Random(seed);
        this.directory = directory;
    }

    /** Runs nodes and callers for a time. */
    void run(int nodeCount, long seconds) throws Exception {
        store.writeConfig(SampleConfig.withVersion(1).replace("\"slots\":4", "\"slots\":32"));
        for (int i = 0; i < ENDPOINTS; i++) {
            startEndpoint("plain-" + i, "plain");
            startEndpoint("engine-" + i, "engines");
        }
        EntryProcess.startAll(nodeCount, store.address(), UnaryOperator.identity(), directory, nodes::add);
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < nodeCount * CALLERS_PER_NODE; i++) {
            callers.add(startCaller("c" + i, nodes.get(i % nodeCount)));
        }
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        while (System.nanoTime() < endNanos) {
            TimeUnit.MILLISECONDS.sleep(random.nextInt(1_000));
            EntryProcess n = nodes.get(random.nextInt(nodes.size()));
            long fromNanos = System.nanoTime();
            n.freezeFor(600 + random.nextInt(900));
            judge.heldUp(n.settings().nodeName(), fromNanos, System.nanoTime());
        }
        ended = true;
        for (Thread t : callers) {
            t.join();
        }
        TimeUnit.MILLISECONDS.sleep(2 * GoneJudge.BOUND_MS);
    }

    GoneJudge judge() {
        return judge;
    }

    /** Requests whose callers got a response. */
    int answered() {
        return answered.get();
    }

    /** Failures of the soak itself. */
    List<String> failures() {
        return List.copyOf(failures);
    }

    /** Numbers for a report. */
    String summary() {
        return "left " + judge.departed() + ", answered " + answered + ", passed on late "
                + judge.passedOnLate().size() + ", worked on " + judge.workedOn() + " of "
                + judge.longRuns().size() + ", failures " + failures;
    }

    @Override
    public void close() {
        ended = true;
        nodes.forEach(EntryProcess::close);
        endpoints.forEach(EndpointStandIn::close);
        store.close();
    }

    private void startEndpoint(String id, String service) {
        EndpointStandIn e = new EndpointStandIn(id, service, this::serve);
        e.onDeparted(x -> judge.began(x.head().headers().get(CallerClient.ID_HEADER, ""), System.nanoTime(), 0));
        endpoints.add(e);
        store.writeEndpoint(id, e.entry().replace("\"slots\":4", "\"slots\":32"));
    }

    private void serve(EndpointStandIn self, ServerExchange x) {
        String id = x.head().headers().get(CallerClient.ID_HEADER, "");
        long lengthMs = 10 + Math.floorMod(id.hashCode() * 0x9E3779B9 >>> 5, 2_500);
        judge.began(id, System.nanoTime(), lengthMs);
        x.onDisconnect(() -> judge.ended(id, System.nanoTime()));
        self.schedule(Duration.ofMillis(lengthMs), () -> {
            judge.ended(id, System.nanoTime());
            self.respondComplete(x, "ok");
        });
    }

    private Thread startCaller(String name, EntryProcess node) {
        Random own = new Random(random.nextLong());
        Thread t = new Thread(() -> {
            for (int n = 0; !ended; n++) {
                try {
                    call(name + "-" + n, node, own);
                } catch (IOException e) {
                    failures.add(name + ": " + e);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        });
        t.setDaemon(true);
        t.start();
        return t;
    }

    /** Sends a request, at times several together, and leaves after a time unless the response has begun. */
    private void call(String id, EntryProcess node, Random own) throws IOException, InterruptedException {
        int kind = own.nextInt(4);
        String path = List.of("/once/x", "/again/x", "/again/y", "/single/x").get(kind);
        String adapter = kind == 3 ? "m/a1" : null;
        int bytes = own.nextInt(3) == 0 ? own.nextInt(LARGE_BYTES) : 0;
        int together = own.nextInt(6) == 0 ? 1 + own.nextInt(MAX_QUEUED) : 1;
        try (KeptConnection c = new KeptConnection(node.settings().callerAddress())) {
            List<String> ids = new ArrayList<>();
            for (int i = 0; i < together; i++) {
                ids.add(id + "." + i);
                c.send(new KeptConnection.Request(ids.get(i), path, adapter, bytes, 0));
            }
            boolean begun = c.awaitResponse(1 + own.nextInt(MAX_PATIENCE_MS));
            String nodeName = node.settings().nodeName();
            if (begun) {
                answered.incrementAndGet();
                ids.remove(0);
            }
            ids.forEach(left -> judge.left(left, nodeName, System.nanoTime()));
        }
        TimeUnit.MILLISECONDS.sleep(own.nextInt(50));
    }
}
