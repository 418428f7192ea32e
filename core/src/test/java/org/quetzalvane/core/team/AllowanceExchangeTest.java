package org.quetzalvane.core.team;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.quetzalvane.core.limit.QuotaBounds;

import static org.assertj.core.api.Assertions.assertThat;

/** Allowances of accounts are kept by all nodes together, and used. */
class AllowanceExchangeTest {
    /** Time after which the holder of a network that has just been started grants, ms. */
    private static final long SETTLE_MS = 4_000;

    private static final long OBSERVED_MS = 20_000;
    private static final double RATE = 150_800;
    /** Part of an allowance that is to be used while demand is at least the allowance. */
    private static final double MIN_USED = 0.97;

    static Stream<Arguments> demands() {
        List<Arguments> all = new ArrayList<>();
        for (int nodes : new int[] {9, 89, 300}) {
            for (double demand : new double[] {1, 2, 10}) {
                for (int seed = 1; seed <= 2; seed++) {
                    all.add(Arguments.of(nodes, demand, seed));
                }
            }
        }
        return all.stream();
    }

    /** Guards against nodes that use the same units twice, and against units that lie unused at nodes. */
    @ParameterizedTest
    @MethodSource("demands")
    void allNodesTogetherKeepToTheAllowanceAndUseIt(int nodes, double demand, int seed) {
        AccountTraffic traffic = traffic(nodes, seed, RATE);
        long start = traffic.network.clock.nanoTime();
        traffic.play(SETTLE_MS, demand * RATE);
        long settled = traffic.network.clock.nanoTime();
        int before = traffic.network.messages;
        traffic.play(OBSERVED_MS, demand * RATE);
        double usable = Math.min(RATE * OBSERVED_MS / 1_000, traffic.offered(settled));
        double used = traffic.arrived(settled) / usable;
        Measured.add(
                "demand nodes=%d demand=%s seed=%d window=%.3f used=%.3f one_bucket=%.3f messages_per_s=%.0f",
                nodes,
                demand,
                seed,
                traffic.worstWindow(QuotaBounds.DEFAULT.windowMs(), start) / (9 * RATE),
                used,
                traffic.grantedByOneBucket(settled) / usable,
                (traffic.network.messages - before) * 1_000.0 / OBSERVED_MS);
        assertThat(traffic.worstWindow(QuotaBounds.DEFAULT.windowMs(), start)).isLessThanOrEqualTo(allowed(RATE, 0));
        assertThat(used).isGreaterThanOrEqualTo(MIN_USED);
    }

    /** Guards against refusals of requests that lie within the allowance. */
    @ParameterizedTest
    @CsvSource({"9, 0.5", "9, 0.8", "89, 0.5", "89, 0.8", "300, 0.5", "300, 0.8"})
    void nothingIsRefusedWithinTheAllowance(int nodes, double demand) {
        for (int seed = 1; seed <= 2; seed++) {
            AccountTraffic traffic = traffic(nodes, seed, RATE);
            traffic.network.clock.advance(Duration.ofMillis(SETTLE_MS));
            long start = traffic.network.clock.nanoTime();
            traffic.play(OBSERVED_MS, demand * RATE);
            assertThat(traffic.deniedCount(start)).as("seed %s", seed).isZero();
            assertThat(traffic.offered(start)).isPositive();
        }
    }

    private static AccountTraffic traffic(int nodes, int seed, double rate) {
        PermitNetwork network = new PermitNetwork(nodes, RandomSource.XO_SHI_RO_256_PP.create(seed));
        return new AccountTraffic(network, "a", rate, rate);
    }

    private static long allowed(double rate, double slack) {
        QuotaBounds b = QuotaBounds.DEFAULT;
        return (long) ((rate * b.windowMs() / 1_000 + rate) * (1 + b.overshoot()) + slack);
    }
}
