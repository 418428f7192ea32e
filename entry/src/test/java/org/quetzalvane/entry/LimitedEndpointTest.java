package org.quetzalvane.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.RegisterExtension;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.quetzalvane.entry.ClosedLoopCallers.Result;
import org.quetzalvane.platform.BootSettings;
import org.quetzalvane.platform.standin.CallerClient;
import org.quetzalvane.platform.standin.EndpointStandIn;
import org.quetzalvane.platform.standin.SampleConfig;
import org.quetzalvane.transport.ServerExchange;

import static org.assertj.core.api.Assertions.assertThat;

/** An endpoint that names in its answers how many requests a second it takes from all nodes, over loopback. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class LimitedEndpointTest {
    private static final int NODES = 3;
    private static final int CALLERS_PER_NODE = 6;
    private static final double LIMIT = 2;
    /** Window over which requests are counted, and the requests in it above one and a half times the limit. */
    private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(4);

    private static final int WINDOW_EXTRA = 5;
    /** Time for the nodes to comply, after the first answer with the limit; as agreed with the endpoints. */
    private static final long SETTLE_NANOS = TimeUnit.SECONDS.toNanos(3);
    /** Longest wait for an observation, seconds. */
    private static final int WAIT_S = 30;

    private static final Duration RUN_TIME = Duration.ofMillis(50);

    @RegisterExtension
    final LoopbackCluster cluster = new LoopbackCluster();

    private final Queue<Long> arrivals = new ConcurrentLinkedQueue<>();
    private final Queue<String> ran = new ConcurrentLinkedQueue<>();
    private final AtomicLong firstPassedOn = new AtomicLong(Long.MAX_VALUE);
    private final CountDownLatch observed = new CountDownLatch(1);
    private final ClosedLoopCallers callers = new ClosedLoopCallers(this::onResult);

    @AfterEach
    void stopCallers() {
        callers.close();
    }

    @ParameterizedTest
    @CsvSource({"plain, 2", "plain, 0", "engines, 2", "engines, 0"})
    void limitedEndpointReceivesWhatItTakesFromAllNodesTogether(String service, int others) throws Exception {
        cluster.store().writeConfig(SampleConfig.withVersion(1));
        EndpointStandIn limited = endpoint("limited", service);
        for (int i = 0; i < others; i++) {
            endpoint("other-" + i, service);
        }
        List<BootSettings> nodes = new ArrayList<>();
        for (int i = 0; i < NODES; i++) {
            nodes.add(cluster.startNode());
        }
        cluster.awaitNodesKnowEachOther();
        limited.nameLimit(Double.toString(LIMIT));
        boolean engines = service.equals("engines");
        callers.start(
                nodes,
                CALLERS_PER_NODE,
                engines ? "POST" : "GET",
                engines ? "/events/x" : "/again/x",
                engines ? "m/a1" : null);
        assertThat(observed.await(WAIT_S, TimeUnit.SECONDS)).isTrue();
        List<Result> results = callers.stop();
        long start = firstPassedOn.get() + SETTLE_NANOS;
        List<Long> settled = arrivals.stream().filter(a -> a > start).toList();
        assertThat(settled).as("requests at the limited endpoint").isNotEmpty();
        assertThat(mostInWindow(settled))
                .as("requests at the limited endpoint in a window")
                .isLessThanOrEqualTo((int) (1.5 * LIMIT * 4 + WINDOW_EXTRA));
        assertServedOrTruthfullyRefused(results);
    }

    private void assertServedOrTruthfullyRefused(List<Result> results) {
        Set<String> ids = new HashSet<>(ran);
        assertThat(results.stream().filter(r -> !(r.isOk() || r.isRefusal() && !ids.contains(r.id()))))
                .as("results of %s requests that are neither served nor truthfully refused", results.size())
                .isEmpty();
    }

    private static int mostInWindow(List<Long> times) {
        return times.stream()
                .mapToInt(from -> (int) times.stream()
                        .filter(t -> t >= from && t - from < WINDOW_NANOS)
                        .count())
                .max()
                .orElse(0);
    }

    private void onResult(Result r) {
        if (r.hasHeader(EndpointStandIn.LIMIT_HEADER.toLowerCase(Locale.ROOT))) {
            firstPassedOn.accumulateAndGet(r.receivedNanos(), Math::min);
        }
        long first = firstPassedOn.get();
        if (first != Long.MAX_VALUE && r.receivedNanos() - first > SETTLE_NANOS + WINDOW_NANOS) {
            observed.countDown();
        }
    }

    private EndpointStandIn endpoint(String id, String service) {
        EndpointStandIn e = cluster.add(new EndpointStandIn(id, service, this::serve));
        cluster.store().writeEndpoint(id, e.entry());
        return e;
    }

    private void serve(EndpointStandIn self, ServerExchange x) {
        if (self.id().equals("limited")) {
            arrivals.add(System.nanoTime());
        }
        ran.add(x.head().headers().get(CallerClient.ID_HEADER));
        self.schedule(RUN_TIME, () -> {
            if (x.head().uri().startsWith("/events")) {
                self.respondWithEvents(x, 1, 3, true);
            } else {
                self.respondComplete(x, "ok");
            }
        });
    }
}
