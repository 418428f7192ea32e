package org.quetzalvane.entry;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.RegisterExtension;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.quetzalvane.platform.BootSettings;
import org.quetzalvane.platform.standin.CallerClient;
import org.quetzalvane.platform.standin.FaultyEngineStandIn;
import org.quetzalvane.platform.standin.FaultyEngineStandIn.Fault;
import org.quetzalvane.platform.standin.SampleConfig;

import static org.assertj.core.api.Assertions.assertThat;

/** A part of a prompt on which engines fail, while sound requests share the other parts, over loopback. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class CrashingPromptPartTest {
    private static final int NODES = 3;
    private static final int ENGINES = 6;
    private static final int MAX_ENDINGS = 8;
    /** Pause from one request with the part to the next, ms. */
    private static final long ROUND_MS = 300;

    private static final int MAX_ROUNDS = 40;
    private static final int MAX_TRIES = 20;
    private static final String FIRST_PART = "5c1e07a2:40,";
    private static final String BAD_PART = "bad1";

    @RegisterExtension
    final LoopbackCluster cluster = new LoopbackCluster();

    private final ExecutorService callers = Executors.newCachedThreadPool();
    private final AtomicInteger ids = new AtomicInteger();
    private final List<FaultyEngineStandIn> engines = new ArrayList<>();
    private final List<BootSettings> nodes = new ArrayList<>();

    /** Responses to a request with the part and to a sound one, sent to one node at the same time. */
    private record Round(CompletableFuture<String> bad, CompletableFuture<String> sound) {
        boolean done() {
            return bad.isDone() && sound.isDone();
        }

        boolean refusesOnlyThePart() {
            return isRefused(bad.join()) && isWhole(sound.join());
        }
    }

    @AfterEach
    void stopCallers() {
        callers.shutdownNow();
    }

    @Test
    void partOnWhichEnginesCrashIsRefusedByAllNodesAndSoundRequestsAreServed() throws Exception {
        start(Fault.END_OF_PROCESS);
        awaitRefusalByAllNodes();
        assertThat(endings()).as("engines ended").isLessThanOrEqualTo(MAX_ENDINGS);
        int arrivals = arrivals();
        for (BootSettings node : nodes) {
            assertThat(sendSound(node)).matches(CrashingPromptPartTest::isWhole);
        }
        nodes.add(cluster.startNode());
        cluster.awaitNodesKnowEachOther();
        for (int i = 0; i < 3 * nodes.size(); i++) {
            assertThat(sendBad(nodes.get(i % nodes.size()))).matches(CrashingPromptPartTest::isRefused);
        }
        for (BootSettings node : nodes) {
            assertThat(sendSound(node)).matches(CrashingPromptPartTest::isWhole);
        }
        assertThat(arrivals()).as("requests with the part at engines").isEqualTo(arrivals);
        assertThat(endings()).as("engines ended").isLessThanOrEqualTo(MAX_ENDINGS);
    }

    /** The engines stay up, so that the content of the requests is not to blame. */
    @ParameterizedTest
    @EnumSource(
            value = Fault.class,
            names = {"CLOSE_BEFORE_HEAD", "TRUNCATION"})
    void partOnWhichResponsesBreakOffThoughEnginesStayUpIsNotRefused(Fault fault) throws Exception {
        start(fault);
        for (int i = 0; i < MAX_TRIES; i++) {
            BootSettings node = nodes.get(i % NODES);
            int before = arrivals();
            String response = sendBad(node);
            assertThat(arrivals()).as(response).isGreaterThan(before);
            assertThat(sendSound(node)).matches(CrashingPromptPartTest::isWhole);
        }
    }

    /** Starts engines and nodes, and sends sound requests. */
    private void start(Fault fault) throws Exception {
        cluster.store().writeConfig(SampleConfig.withVersion(1));
        for (int i = 1; i <= ENGINES; i++) {
            String address = TestPorts.freeAddress();
            int port = Integer.parseInt(address.substring(address.indexOf(':') + 1));
            engines.add(cluster.add(new FaultyEngineStandIn(cluster.store(), "engine-" + i, port, BAD_PART, fault)));
        }
        for (int i = 0; i < NODES; i++) {
            nodes.add(cluster.startNode());
        }
        cluster.awaitNodesKnowEachOther();
        for (BootSettings node : nodes) {
            assertThat(sendSound(node)).matches(CrashingPromptPartTest::isWhole);
        }
    }

    /**
     * Sends pairs of a request with the part and a sound one to the nodes in turn, until the last completed pair of
     * each node shows that it refuses only the part, or too many engines ended.
     */
    private void awaitRefusalByAllNodes() throws InterruptedException {
        List<Round> rounds = new ArrayList<>();
        boolean refused = false;
        while (!refused && rounds.size() < MAX_ROUNDS && endings() <= MAX_ENDINGS) {
            BootSettings node = nodes.get(rounds.size() % NODES);
            rounds.add(new Round(async(() -> sendBad(node)), async(() -> sendSound(node))));
            TimeUnit.MILLISECONDS.sleep(ROUND_MS);
            refused = lastCompletedOfEachNode(rounds).stream()
                            .filter(Round::refusesOnlyThePart)
                            .count()
                    == NODES;
        }
        assertThat(refused)
                .as("whether all nodes refuse the part; rounds: %s, engines ended: %s", rounds.size(), endings())
                .isTrue();
    }

    private static List<Round> lastCompletedOfEachNode(List<Round> rounds) {
        Round[] last = new Round[NODES];
        for (int i = 0; i < rounds.size(); i++) {
            if (rounds.get(i).done()) {
                last[i % NODES] = rounds.get(i);
            }
        }
        return Stream.of(last).filter(Objects::nonNull).toList();
    }

    private static boolean isRefused(String response) {
        return response.startsWith("HTTP/1.1 503")
                && response.toLowerCase(Locale.ROOT).contains("\r\nretry-after:");
    }

    private static boolean isWhole(String response) {
        return response.startsWith("HTTP/1.1 200")
                && response.contains("data: event " + FaultyEngineStandIn.LAST_EVENT + "\n")
                && response.endsWith("0\r\n\r\n");
    }

    private String sendBad(BootSettings node) throws IOException {
        int n = ids.incrementAndGet();
        return send(node, "bad-" + n, FIRST_PART + BAD_PART + ":30," + ownPart(n));
    }

    /** Sends a sound request, again while it is refused. */
    private String sendSound(BootSettings node) throws IOException, InterruptedException {
        String response = "";
        for (int i = 0; i < MAX_TRIES && (response.isEmpty() || isRefused(response)); i++) {
            TimeUnit.MILLISECONDS.sleep(i == 0 ? 0 : ROUND_MS);
            int n = ids.incrementAndGet();
            response = send(node, "sound-" + n, FIRST_PART + "50" + n % 4 + ":30," + ownPart(n));
        }
        return response;
    }

    private static String send(BootSettings node, String id, String prompt) throws IOException {
        return CallerClient.sendPrompt(node.callerAddress(), "/events/x", id, "m/a1", prompt);
    }

    private static String ownPart(int n) {
        return "f" + Integer.toHexString(n) + ":30";
    }

    private int endings() {
        return engines.stream().mapToInt(FaultyEngineStandIn::endings).sum();
    }

    private int arrivals() {
        return engines.stream().mapToInt(e -> e.arrivals(BAD_PART)).sum();
    }

    private CompletableFuture<String> async(Callable<String> send) {
        return CompletableFuture.supplyAsync(
                () -> {
                    try {
                        return send.call();
                    } catch (Exception e) {
                        throw new CompletionException(e);
                    }
                },
                callers);
    }
}
