package org.quetzalvane.core.choice;

import java.time.Duration;
import java.util.Random;
import java.util.stream.IntStream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.quetzalvane.core.time.ManualScheduler;

import static org.assertj.core.api.Assertions.assertThat;

/** Retry budget of nodes whose requests come in bursts, with callers that retry as much as they can. */
class RetryBudgetBurstTest {
    private static final double RATIO = 0.2;
    private static final double EXTRA = 56;
    private static final int NODES = 8;
    private static final int STEP_MS = 100;
    private static final int WINDOW_MS = 10_000;
    private static final int FIRST_BURST_MS = 25_000;

    private final ManualScheduler clock = new ManualScheduler();
    private final RetryBudgetJudge judge = new RetryBudgetJudge(RATIO, EXTRA, WINDOW_MS);
    private final RetryBudgetShare[] shares = IntStream.range(0, NODES)
            .mapToObj(n -> new RetryBudgetShare(clock, RATIO, EXTRA, WINDOW_MS, () -> NODES))
            .toArray(RetryBudgetShare[]::new);
    private int requests;

    /** Guards against bursts that no window of the rule holds together, but that of a node does. */
    @ParameterizedTest
    @CsvSource({
        "6, 1000, 3000, false",
        "6, 1000, 7000, false",
        "6, 2000, 7000, false",
        "6, 1000, 6000, true",
        "6, 1000, 8000, true",
        "6, 2000, 6000, true",
        "30, 1000, 7000, true",
        "30, 3000, 6000, true",
        "0, 500, 9000, true"
    })
    void retriesStayWithinTheBudgetInBursts(int perStep, int burstMs, int pauseMs, boolean fromSecondBurst) {
        judge.arrived("service", "r", clock.nanoTime());
        int failingFromMs = fromSecondBurst ? FIRST_BURST_MS + burstMs + pauseMs : 0;
        for (int ms = 0; ms < FIRST_BURST_MS + 4 * WINDOW_MS; ms += STEP_MS) {
            boolean burst = ms >= FIRST_BURST_MS && (ms - FIRST_BURST_MS) % (burstMs + pauseMs) < burstMs;
            int now = burst ? perStep + 60 : perStep;
            for (int i = 0; i < now; i++) {
                judge.requested("service", clock.nanoTime());
                shares[requests++ % NODES].recordRequest("service");
            }
            if (ms >= failingFromMs) {
                sendRetries();
            }
            clock.advance(Duration.ofMillis(STEP_MS));
        }
        assertThat(judge.worst())
                .hasValueSatisfying(w -> assertThat(w.exceeded()).as("%s", w).isFalse());
    }

    /** Rates, failures and the nodes that callers turn to, drawn from a seed. */
    @ParameterizedTest
    @MethodSource("seeds")
    void retriesStayWithinTheBudgetWhileRatesChange(int seed) {
        Random random = new Random(seed);
        int nodesInUse = NODES;
        int perStep = 0;
        boolean failing = false;
        for (int ms = 0; ms < 12 * WINDOW_MS; ms += STEP_MS) {
            if (random.nextInt(10) == 0) {
                perStep = random.nextInt(2) * random.nextInt(60);
                failing = ms > 2 * WINDOW_MS && random.nextBoolean();
                nodesInUse = NODES - random.nextInt(NODES / 2);
            }
            for (int i = 0; i < perStep; i++) {
                judge.requested("service", clock.nanoTime());
                shares[random.nextInt(nodesInUse)].recordRequest("service");
            }
            if (failing) {
                sendRetries();
            }
            clock.advance(Duration.ofMillis(STEP_MS));
        }
        assertThat(judge.worst())
                .hasValueSatisfying(w -> assertThat(w.exceeded()).as("%s", w).isFalse());
    }

    static IntStream seeds() {
        return IntStream.range(0, 100);
    }

    private void sendRetries() {
        for (RetryBudgetShare s : shares) {
            for (RetryBudgetShare.Reservation r = s.tryReserve("service"); r != null && r.use(); ) {
                judge.arrived("service", "r", clock.nanoTime());
                r = s.tryReserve("service");
            }
        }
    }
}
