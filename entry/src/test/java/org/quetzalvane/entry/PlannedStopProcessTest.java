package org.quetzalvane.entry;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.RegisterExtension;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.quetzalvane.entry.StoppingCallers.Outcome;
import org.quetzalvane.platform.standin.CallerClient;
import org.quetzalvane.platform.standin.EndpointStandIn;
import org.quetzalvane.platform.standin.SampleConfig;
import org.quetzalvane.transport.ServerExchange;

import static org.assertj.core.api.Assertions.assertThat;

/** Requests that reach a node, run as a process, between SIGTERM and its end. */
@Timeout(value = 90, unit = TimeUnit.SECONDS)
class PlannedStopProcessTest {
    private static final long INTERVAL_MS = 250;
    private static final int ROUNDS_BEFORE_STOP = 4;
    /** Time for which a request may cross the close of its connection. */
    private static final long LOSS_SLACK_MS = 200;

    private static final Duration SHORT_RUN = Duration.ofMillis(50);

    @RegisterExtension
    final LoopbackCluster cluster = new LoopbackCluster();

    @TempDir
    private Path directory;

    /** Requests that an endpoint has begun to run. */
    private final Set<String> began = ConcurrentHashMap.newKeySet();

    private Duration longRun;

    /**
     * Guards against requests that are taken although they cannot end before the process does, and then cut: each
     * request gets a complete response or is not run; one that may not be repeated gets its endpoint's response if it
     * has run.
     */
    @ParameterizedTest
    @CsvSource({"3000, 800", "3000, 5000", "8000, 5000", "8000, 15000"})
    void noRequestIsCutAtTheEndOfTheGracePeriod(long graceMs, long timeoutMs) throws Exception {
        longRun = Duration.ofMillis(Math.min(timeoutMs, graceMs) * 3 / 4);
        cluster.store()
                .writeConfig(
                        SampleConfig.withVersion(1).replaceAll("\"timeout_ms\":\\d+", "\"timeout_ms\":" + timeoutMs));
        startEndpoint("plain-1", "plain");
        startEndpoint("engine-1", "engines");
        long stopNanos;
        List<Outcome> outcomes;
        try (EntryProcess node = new EntryProcess(
                        TestSettings.withGracePeriod(
                                TestSettings.of("n1", Set.of(), cluster.store().address()), graceMs),
                        directory);
                StoppingCallers callers = new StoppingCallers(node.settings().callerAddress())) {
            node.awaitReady();
            serveOneOfEachLength(callers);
            for (int round = 0; round < ROUNDS_BEFORE_STOP; round++) {
                sendRound(callers, round);
            }
            stopNanos = System.nanoTime();
            CompletableFuture<Void> stopped = CompletableFuture.runAsync(() -> stop(node));
            for (int round = ROUNDS_BEFORE_STOP; !stopped.isDone(); round++) {
                sendRound(callers, round);
                // Neither signal changes a stop that is under way.
                node.hangUp();
                node.terminate();
            }
            stopped.join();
            assertThat(elapsedMs(stopNanos, System.nanoTime())).isLessThan(graceMs + INTERVAL_MS);
            outcomes = callers.outcomes();
        }
        long sixthNanos = stopNanos + TimeUnit.MILLISECONDS.toNanos(graceMs * 5 / 6);
        assertThat(outcomes).filteredOn(Outcome::complete).isNotEmpty();
        assertThat(outcomes)
                .as("cut without a complete response")
                .filteredOn(o -> o.connected() && !o.complete())
                .filteredOn(o -> began.contains(o.id()) || elapsedMs(o.sentNanos(), o.endNanos()) > LOSS_SLACK_MS)
                // A response that has begun may reach its route's timeout.
                .filteredOn(o -> o.status() == 0 || elapsedMs(o.sentNanos(), o.endNanos()) < timeoutMs)
                // A stream that began before the stop may outlast the grace period.
                .filteredOn(o -> o.status() == 0 || o.endNanos() < sixthNanos || o.sentNanos() > stopNanos)
                .isEmpty();
        assertThat(outcomes)
                .as("run, may not be repeated, and not served")
                .filteredOn(o -> o.sentNanos() > stopNanos && began.contains(o.id()))
                .filteredOn(o -> o.path().startsWith("/once/") || o.path().startsWith("/single/"))
                .filteredOn(o -> o.status() != 200 || !o.complete())
                .isEmpty();
        assertThat(outcomes)
                .as("refused as not run, but run")
                .filteredOn(o -> o.status() == 503 && began.contains(o.id()))
                .isEmpty();
        assertThat(outcomes)
                .as("surely ends in time, but not served")
                .filteredOn(isSure(stopNanos, graceMs, timeoutMs))
                .allMatch(o -> o.status() == 200);
    }

    /** Requests sent in the first quarter of the grace period that must end in its first half. */
    private static Predicate<Outcome> isSure(long stopNanos, long graceMs, long timeoutMs) {
        return o -> timeoutMs < graceMs / 4
                && elapsedMs(stopNanos, o.sentNanos()) > 0
                && elapsedMs(stopNanos, o.sentNanos()) < graceMs / 4;
    }

    private static void serveOneOfEachLength(StoppingCallers callers) throws Exception {
        sendRound(callers, -1);
        callers.outcomes();
    }

    private static void sendRound(StoppingCallers callers, int round) throws InterruptedException {
        for (String length : List.of("short", "long")) {
            String id = round + length;
            callers.send("/once/" + length, null, "once" + id);
            callers.send("/again/" + length, null, "again" + id);
            callers.send("/events/" + length, "m/a1", "events" + id);
            callers.send("/single/" + length, "m/a1", "single" + id);
            callers.send("/once/" + length, null, "first" + id, "second" + id);
        }
        TimeUnit.MILLISECONDS.sleep(INTERVAL_MS);
    }

    private void startEndpoint(String id, String service) {
        EndpointStandIn e = cluster.add(new EndpointStandIn(id, service, this::run));
        cluster.store().writeEndpoint(id, e.entry());
    }

    private void run(EndpointStandIn self, ServerExchange x) {
        began.add(x.head().headers().get(CallerClient.ID_HEADER));
        Duration length = x.head().uri().endsWith("long") ? longRun : SHORT_RUN;
        if (self.id().startsWith("plain")) {
            self.schedule(length, () -> self.respondComplete(x, "ok"));
            return;
        }
        CompletableFuture<Void> end = new CompletableFuture<>();
        self.schedule(length, () -> end.complete(null));
        self.respondWithSilence(x, "text/event-stream", "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", end, () -> {});
    }

    private static void stop(EntryProcess node) {
        try {
            node.stop();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static long elapsedMs(long from, long to) {
        return TimeUnit.NANOSECONDS.toMillis(to - from);
    }
}
