package org.quetzalvane.core.team;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.quetzalvane.core.limit.AccountUse;
import org.quetzalvane.core.limit.Permit;
import org.quetzalvane.core.limit.QuotaBounds;
import org.quetzalvane.core.routes.ClientAccount;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

/** Allowances under changes of the limit, unusual costs and uneven callers, and what is kept for them. */
class AllowanceCasesTest {
    private static final long SETTLE_MS = 4_000;
    private static final long OBSERVED_MS = 20_000;
    private static final double RATE = 150_800;
    private static final long WINDOW_MS = QuotaBounds.DEFAULT.windowMs();
    private static final double MIN_USED = 0.97;

    /** Guards against a second burst at each change, and against nodes with an older version that raise the limit. */
    @ParameterizedTest
    @CsvSource({"9, 1", "9, 2", "89, 1", "89, 2", "300, 1"})
    void limitThatChangesEachSecondIsKept(int nodes, int seed) {
        double[] rates = {150_800, 30_000, 90_000, 2_700};
        AccountTraffic traffic = traffic(nodes, seed, RATE);
        List<AccountTraffic.Known> versions = new ArrayList<>();
        versions.add(new AccountTraffic.Known(traffic.account, 0));
        // A third of the nodes knows a version one second late.
        traffic.known = n -> versions.get(Math.max(0, versions.size() - (n.index % 3 == 0 ? 2 : 1)));
        traffic.play(SETTLE_MS, RATE / 2);
        long start = traffic.network.clock.nanoTime();
        for (int i = 0; i < 24; i++) {
            double rate = rates[i % rates.length];
            traffic.account = AccountTraffic.account("a", rate, rate);
            versions.add(new AccountTraffic.Known(traffic.account, i + 1));
            traffic.play(1_000, 10 * RATE);
        }
        double mean = (rates[0] + rates[1] + rates[2] + rates[3]) / rates.length;
        double allowed = (mean * WINDOW_MS / 1_000 + RATE) * (1 + QuotaBounds.DEFAULT.overshoot());
        double window = traffic.worstWindow(WINDOW_MS, start) / allowed;
        Measured.add("changes nodes=%d seed=%d window_of_allowed=%.3f", nodes, seed, window);
        assertThat(window).isLessThanOrEqualTo(1);
    }

    /** Guards against an allowance that is split between nodes while all callers are at one of them. */
    @ParameterizedTest
    @CsvSource({"9, 0.5", "9, 0.8", "9, 1", "9, 10", "89, 0.5", "89, 0.8", "89, 1", "89, 10", "300, 0.8", "300, 10"})
    void allCallersAtOneNodeMayUseTheWholeAllowance(int nodes, double demand) {
        AccountTraffic traffic = traffic(nodes, 1, RATE);
        PermitNetwork.Node only = traffic.network.nodes.get(nodes - 1);
        traffic.node = () -> only;
        traffic.network.clock.advance(Duration.ofMillis(SETTLE_MS));
        long start = traffic.network.clock.nanoTime();
        traffic.play(OBSERVED_MS, demand * RATE);
        double used = traffic.arrived(start) / Math.min(RATE * OBSERVED_MS / 1_000, traffic.offered(start));
        double window = traffic.worstWindow(WINDOW_MS, start) / allowed(RATE, 0);
        Measured.add("one_node nodes=%d demand=%s window_of_allowed=%.3f used=%.3f", nodes, demand, window, used);
        assertThat(window).isLessThanOrEqualTo(1);
        assertThat(used).isGreaterThanOrEqualTo(MIN_USED);
        if (demand < 1) {
            assertThat(traffic.deniedCount(start)).isZero();
        }
    }

    /**
     * Guards against requests dearer than the burst that are never granted, or granted at several nodes at once. With
     * few requests a second one bucket with full knowledge cannot use all at a demand of 1, so it is the measure.
     */
    @ParameterizedTest
    @CsvSource({"9, 1", "9, 2", "9, 10", "89, 1", "89, 2", "89, 10", "300, 1", "300, 2", "300, 10"})
    void requestsThatCostMoreThanTheBurstAreGrantedWithinTheBound(int nodes, double demand) {
        double rate = 2_700;
        for (int seed = 1; seed <= 2; seed++) {
            AccountTraffic traffic = traffic(nodes, seed, rate);
            traffic.network.clock.advance(Duration.ofMillis(SETTLE_MS));
            long start = traffic.network.clock.nanoTime();
            long observedMs = 200_000;
            traffic.play(observedMs, demand * rate);
            double usable = Math.min(rate * observedMs / 1_000, traffic.grantedByOneBucket(start));
            double used = traffic.arrived(start) / usable;
            double window = traffic.worstWindow(WINDOW_MS, start) / allowed(rate, 0);
            Measured.add(
                    "large_costs nodes=%d demand=%s seed=%d window_of_allowed=%.3f used_of_one_bucket=%.3f",
                    nodes, demand, seed, window, used);
            assertThat(window).as("seed %s", seed).isLessThanOrEqualTo(1);
            assertThat(used).as("seed %s", seed).isGreaterThanOrEqualTo(MIN_USED);
        }
    }

    /** Guards against retries that are not counted, and against units of attempts that did not run and are lost. */
    @ParameterizedTest
    @CsvSource({"9, 0.2, 0", "89, 0.2, 0", "300, 0.2, 0", "9, 0, 0.3", "89, 0, 0.3", "300, 0, 0.3"})
    void furtherAttemptsAreChargedAndThoseNotRunAreReturned(int nodes, double retryPart, double notRunPart) {
        for (double demand : new double[] {2, 10}) {
            AccountTraffic traffic = traffic(nodes, 1, RATE);
            traffic.retryPart = retryPart;
            traffic.notRunPart = notRunPart;
            long start = traffic.network.clock.nanoTime();
            traffic.play(SETTLE_MS, demand * RATE);
            long settled = traffic.network.clock.nanoTime();
            traffic.play(OBSERVED_MS, demand * RATE);
            double used = traffic.arrived(settled) / (RATE * OBSERVED_MS / 1_000);
            double window = traffic.worstWindow(WINDOW_MS, start) / allowed(RATE, 0);
            Measured.add(
                    "attempts nodes=%d retried=%s not_run=%s demand=%s window_of_allowed=%.3f used=%.3f",
                    nodes, retryPart, notRunPart, demand, window, used);
            assertThat(window).as("demand %s", demand).isLessThanOrEqualTo(1);
            assertThat(used).as("demand %s", demand).isGreaterThanOrEqualTo(MIN_USED);
        }
    }

    /** Guards against a Retry-After after which the request is refused again though nobody else used the allowance. */
    @ParameterizedTest
    @CsvSource({"9, 1000", "9, 4000", "89, 4000", "300, 4000"})
    void deniedRequestIsGrantedAfterTheStatedWait(int nodes, long cost) {
        AccountTraffic traffic = traffic(nodes, 1, 2_700);
        traffic.network.clock.advance(Duration.ofMillis(SETTLE_MS));
        PermitNetwork.Node n = traffic.network.nodes.get(3);
        Permit[] last = {Permit.UNLIMITED};
        for (int i = 0; i < 10 && last[0].granted(); i++) {
            n.allowances.acquire(traffic.account, 1, cost, p -> last[0] = p);
            traffic.network.clock.advance(Duration.ofMillis(20));
        }
        assertThat(last[0].granted()).isFalse();
        traffic.network.clock.advance(Duration.ofMillis(last[0].waitMs()));
        n.allowances.acquire(traffic.account, 1, cost, p -> last[0] = p);
        traffic.network.clock.advance(Duration.ofMillis(20));
        assertThat(last[0].granted()).isTrue();
    }

    /** Guards against messages and waits for accounts that have no limit, also with a burst but no rate. */
    @Test
    void accountWithoutARateIsGrantedAtOnceWithoutAnyMessage() {
        AccountTraffic traffic = traffic(9, 1, RATE);
        ClientAccount unlimited = AccountTraffic.account("u", 0, 1_000);
        List<Permit> permits = new ArrayList<>();
        for (PermitNetwork.Node n : traffic.network.nodes) {
            n.allowances.acquire(unlimited, 1, 1_000_000, permits::add);
            n.allowances.charge(unlimited, 1, 1_000_000);
            n.allowances.giveBack(unlimited, 1_000_000);
        }
        traffic.network.clock.advance(Duration.ofSeconds(1));
        assertThat(permits).hasSize(9).allMatch(Permit::granted);
        assertThat(traffic.network.messages).isZero();
    }

    /** Guards against figures for operators and for fair shares that do not describe all nodes. */
    @ParameterizedTest
    @CsvSource({"9", "89"})
    void nodesKnowTheUseOverAllNodesAndTheHolder(int nodes) {
        AccountTraffic traffic = traffic(nodes, 1, RATE);
        traffic.play(SETTLE_MS + OBSERVED_MS, 2 * RATE);
        AccountUse use = traffic.network.nodes.get(nodes - 1).allowances.uses().get(0);
        assertThat(use.account()).isEqualTo("a");
        assertThat(use.limitPerSecond()).isEqualTo(RATE);
        assertThat(use.allPerSecond()).isCloseTo(RATE, within(0.1 * RATE));
        assertThat(use.usePerSecond()).isBetween(0.0, RATE);
        assertThat(use.denied()).isPositive();
        assertThat(use.localShare()).isFalse();
        assertThat(traffic.network.nodes).extracting(n -> n.name).contains(use.holder());
        assertThat(traffic.network.nodes.get(0).allowances.usePerSecond("unknown"))
                .isEqualTo(AccountUse.UNKNOWN);
    }

    /** Guards against state that grows with each account that was ever configured or asked for. */
    @Test
    void stateIsBoundedAndAccountsThatAreNoLongerConfiguredAreDropped() {
        PermitNetwork network = traffic(2, 1, RATE).network;
        network.clock.advance(Duration.ofMillis(SETTLE_MS));
        AllowanceExchange node = network.nodes.get(0).allowances;
        for (int i = 0; i < 1_500; i++) {
            node.acquire(AccountTraffic.account("a" + i, RATE, RATE), 1, 1, p -> {});
            network.clock.advance(Duration.ofMillis(1));
        }
        assertThat(node.uses()).hasSize(1_000);
        assertThat(network.nodes).allMatch(n -> n.allowances.held() <= 1_000);
        network.nodes.forEach(n -> n.allowances.configure(2, List.of(AccountTraffic.account("a1499", RATE, RATE))));
        assertThat(node.uses()).extracting(AccountUse::account).containsExactly("a1499");
        assertThat(network.nodes.stream().mapToInt(n -> n.allowances.held()).sum())
                .isEqualTo(1);
    }

    /** Guards against a first request that is refused because its budget was created only then. */
    @ParameterizedTest
    @CsvSource({"9", "89", "300"})
    void budgetsOfConfiguredAccountsAreReadyWhileHubsChange(int nodes) {
        AccountTraffic traffic = traffic(nodes, 1, RATE);
        PermitNetwork network = traffic.network;
        network.nodes.forEach(n -> n.allowances.configure(1, List.of(traffic.account)));
        network.clock.advance(Duration.ofMillis(SETTLE_MS));
        PermitNetwork.Node holder = network.holderOf(traffic.account);
        network.kill(network.nodes.get(holder.index == 0 ? 1 : 0));
        network.clock.advance(Duration.ofMillis(2_000));
        long start = network.clock.nanoTime();
        traffic.play(2_000, RATE / 2);
        assertThat(traffic.deniedCount(start)).isZero();
    }

    private static AccountTraffic traffic(int nodes, int seed, double rate) {
        PermitNetwork network = new PermitNetwork(nodes, RandomSource.XO_SHI_RO_256_PP.create(seed));
        return new AccountTraffic(network, "a", rate, rate);
    }

    private static double allowed(double rate, double slack) {
        QuotaBounds b = QuotaBounds.DEFAULT;
        return (rate * b.windowMs() / 1_000 + rate) * (1 + b.overshoot()) + slack;
    }
}
