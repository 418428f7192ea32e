package org.quetzalvane.entry;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.RegisterExtension;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.quetzalvane.platform.BootSettings;
import org.quetzalvane.platform.standin.CallerClient;
import org.quetzalvane.platform.standin.FaultyEngineStandIn;
import org.quetzalvane.platform.standin.FaultyEngineStandIn.Fault;
import org.quetzalvane.platform.standin.SampleConfig;
import org.quetzalvane.transport.ServerExchange;

import static org.assertj.core.api.Assertions.assertThat;

/** The same request again and again, on which each endpoint that runs it ends, over loopback. */
@Timeout(value = 90, unit = TimeUnit.SECONDS)
class RepeatedCrashingRequestTest {
    private static final int NODES = 3;
    private static final int ENDPOINTS = 6;
    /** Pause from one repeat to the next, ms. */
    private static final long ROUND_MS = 300;
    /** Time for which the request is repeated after the third end of an endpoint. */
    private static final long OBSERVED_NANOS = TimeUnit.SECONDS.toNanos(10);
    /** Time after the third end from which at most {@link #MAX_LATE} repeats may reach endpoints. */
    private static final long STABILITY_NANOS = TimeUnit.SECONDS.toNanos(3);

    private static final int MAX_LATE = 3;
    private static final int MAX_TRIES = 40;
    /** Parts that sound requests have too. */
    private static final String SHARED_PARTS = "5c1e07a2:40,501:30,";

    @RegisterExtension
    final LoopbackCluster cluster = new LoopbackCluster();

    private final ExecutorService callers = Executors.newCachedThreadPool();
    private final AtomicInteger ids = new AtomicInteger();
    private final List<FaultyEngineStandIn> endpoints = new ArrayList<>();
    private final List<BootSettings> nodes = new ArrayList<>();
    private final Queue<Long> arrivals = new ConcurrentLinkedQueue<>();

    @AfterEach
    void stopCallers() {
        callers.shutdownNow();
    }

    @ParameterizedTest
    @CsvSource({"plain, END_BEFORE_HEAD", "engines, END_BEFORE_HEAD", "engines, END_OF_PROCESS"})
    void requestUnderWhichThreeEndpointsEndedIsRefusedByAllNodesAndSoundOnesAreServed(String service, Fault fault)
            throws Exception {
        start(service, fault);
        long third = repeatUntilObserved(service);
        assertThat(arrivals.stream().filter(a -> a - third > STABILITY_NANOS))
                .as("repeats at endpoints, %s ends in all", endings())
                .hasSizeLessThanOrEqualTo(MAX_LATE);
        for (BootSettings node : nodes) {
            assertThat(send(node, service, "/bad")).startsWith("HTTP/1.1 503").containsIgnoringCase("retry-after:");
            assertThat(sendSound(node, service)).startsWith("HTTP/1.1 200");
        }
    }

    private void start(String service, Fault fault) throws Exception {
        cluster.store().writeConfig(SampleConfig.withVersion(1));
        for (int i = 1; i <= ENDPOINTS; i++) {
            String address = TestPorts.freeAddress();
            int port = Integer.parseInt(address.substring(address.indexOf(':') + 1));
            endpoints.add(cluster.add(
                    new FaultyEngineStandIn(cluster.store(), "endpoint-" + i, port, service, this::isFaulty, fault)));
        }
        for (int i = 0; i < NODES; i++) {
            nodes.add(cluster.startNode());
        }
        cluster.awaitNodesKnowEachOther();
        for (BootSettings node : nodes) {
            assertThat(sendSound(node, service)).startsWith("HTTP/1.1 200");
        }
        arrivals.clear();
    }

    /** Repeats the request beside sound ones; returns the time of the third end. */
    private long repeatUntilObserved(String service) throws InterruptedException {
        long third = Long.MAX_VALUE;
        for (int i = 0; third == Long.MAX_VALUE || System.nanoTime() - third < OBSERVED_NANOS; i++) {
            BootSettings node = nodes.get(i % NODES);
            callers.submit(() -> send(node, service, "/bad"));
            callers.submit(() -> send(node, service, "/sound-" + ids.incrementAndGet()));
            TimeUnit.MILLISECONDS.sleep(ROUND_MS);
            if (third == Long.MAX_VALUE && endings() >= 3) {
                third = System.nanoTime();
            }
        }
        return third;
    }

    private boolean isFaulty(ServerExchange x) {
        boolean faulty = x.head().uri().endsWith("/bad");
        if (faulty) {
            arrivals.add(System.nanoTime());
        }
        return faulty;
    }

    /** Sends a sound request, again while it is refused or fails. */
    private String sendSound(BootSettings node, String service) throws IOException, InterruptedException {
        String response = "";
        for (int i = 0; i < MAX_TRIES && !response.startsWith("HTTP/1.1 200"); i++) {
            TimeUnit.MILLISECONDS.sleep(i == 0 ? 0 : ROUND_MS);
            response = send(node, service, "/sound-" + ids.incrementAndGet());
        }
        return response;
    }

    private String send(BootSettings node, String service, String path) throws IOException {
        String id = "id-" + ids.incrementAndGet();
        if (service.equals("plain")) {
            return CallerClient.send(node.callerAddress(), "GET", "/again" + path, id, null);
        }
        String prompt = SHARED_PARTS + "f" + Integer.toHexString(ids.incrementAndGet()) + ":30";
        return CallerClient.sendPrompt(node.callerAddress(), "/events" + path, id, "m/a1", prompt);
    }

    private int endings() {
        return endpoints.stream().mapToInt(FaultyEngineStandIn::endings).sum();
    }
}
