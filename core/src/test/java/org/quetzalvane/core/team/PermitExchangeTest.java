package org.quetzalvane.core.team;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.IntStream;

import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.quetzalvane.core.fleet.Endpoint;
import org.quetzalvane.core.limit.EndpointLimit;

import static org.assertj.core.api.Assertions.assertThat;

/** Limits that endpoints name are kept by all nodes together, and used. */
class PermitExchangeTest {
    private static final long SETTLE_MS = 3_000;
    private static final long OBSERVED_MS = 20_000;
    /** Part of a limit that is to be used while demand exceeds it. */
    private static final double MIN_USED = 0.9;

    private static final Endpoint ENDPOINT = PermitNetwork.endpoint(0);

    /** What happens to the nodes while the limit is in force. */
    private enum Disruption {
        HOLDERS_FREEZE(n -> n.nodes.subList(0, 4).forEach(n::freeze)),
        HUBS_RESTART(n -> n.nodes.subList(0, 4).forEach(PermitNetwork.Node::restart)),
        THIRD_CUT_OFF(n -> n.cutOff(n.nodes.subList(0, n.nodes.size() / 3))),
        MOST_CUT_OFF(n -> n.cutOff(n.nodes.subList(0, 2 * n.nodes.size() / 3)));

        private final Consumer<PermitNetwork> begin;

        Disruption(Consumer<PermitNetwork> begin) {
            this.begin = begin;
        }

        private void end(PermitNetwork n) {
            n.heal();
            n.nodes.forEach(n::thaw);
        }
    }

    @ParameterizedTest
    @CsvSource({"9, 0.3", "9, 1.8", "9, 50", "95, 0.3", "95, 1.8", "95, 50", "300, 0.3", "300, 1.8", "300, 50"})
    void allNodesTogetherKeepToTheLimitAndUseIt(int nodes, double limit) {
        PermitNetwork network = network(nodes, 1);
        // All nodes use the endpoint before it names its limit.
        network.play(2_000, Map.of(ENDPOINT, Math.max(20, 4 * limit)));
        network.named.put(ENDPOINT, limit);
        network.play(SETTLE_MS, Map.of(ENDPOINT, 3 * limit + 5));
        long start = network.clock.nanoTime();
        // A few hundred permits at least, so that chance decides little.
        long observedMs = Math.max(OBSERVED_MS, Math.round(300_000 / limit));
        network.play(observedMs, Map.of(ENDPOINT, 2 * limit));
        double used = network.arrivals(ENDPOINT, start) / (limit * observedMs / 1_000);
        assertThat(network.mostInFourSeconds(ENDPOINT, start)).isLessThanOrEqualTo(allowed(limit));
        assertThat(used).isGreaterThanOrEqualTo(MIN_USED);
    }

    @ParameterizedTest
    @CsvSource({"9, 1", "9, 2", "95, 1", "300, 1"})
    void limitsThatChangeAreFollowed(int nodes, int seed) {
        PermitNetwork network = network(nodes, seed);
        double demand = 40;
        for (double limit : new double[] {20, 2, 8, 0.5, 5}) {
            network.named.put(ENDPOINT, limit);
            network.play(SETTLE_MS, Map.of(ENDPOINT, demand));
            long start = network.clock.nanoTime();
            network.play(OBSERVED_MS, Map.of(ENDPOINT, demand));
            assertThat(network.mostInFourSeconds(ENDPOINT, start))
                    .as("limit %s", limit)
                    .isLessThanOrEqualTo(allowed(limit));
            assertThat(used(network, limit, start)).as("limit %s", limit).isGreaterThanOrEqualTo(MIN_USED);
        }
        network.named.remove(ENDPOINT);
        network.play(SETTLE_MS, Map.of(ENDPOINT, demand));
        long start = network.clock.nanoTime();
        network.play(OBSERVED_MS, Map.of(ENDPOINT, demand));
        assertThat(network.arrivals(ENDPOINT, start))
                .as("requests after the limit has ended")
                .isGreaterThan((long) (MIN_USED * demand * OBSERVED_MS / 1_000));
        assertThat(network.nodes).allMatch(n -> n.exchange.limitedEndpoints() == 0);
    }

    @ParameterizedTest
    @EnumSource(Disruption.class)
    void limitIsKeptWhileNodesFail(Disruption disruption) {
        for (int seed = 1; seed <= 2; seed++) {
            for (double limit : new double[] {0.3, 1.8, 50}) {
                PermitNetwork network = network(9, seed);
                network.named.put(ENDPOINT, limit);
                Map<Endpoint, Double> demand = Map.of(ENDPOINT, 10 * limit + 10);
                network.play(SETTLE_MS + OBSERVED_MS, demand);
                long start = network.clock.nanoTime() - OBSERVED_MS * 1_000_000;
                disruption.begin.accept(network);
                network.play(OBSERVED_MS, demand);
                disruption.end(network);
                network.play(OBSERVED_MS, demand);
                assertThat(network.mostInFourSeconds(ENDPOINT, start))
                        .as("%s, limit %s, seed %s", disruption, limit, seed)
                        .isLessThanOrEqualTo(allowed(limit));
            }
        }
    }

    @ParameterizedTest
    @CsvSource({"9", "95"})
    void manyLimitedEndpointsAreKeptAtOnce(int nodes) {
        PermitNetwork network = network(nodes, 1);
        Map<Endpoint, Double> demand = new HashMap<>();
        List<Endpoint> endpoints =
                IntStream.range(0, 40).mapToObj(PermitNetwork::endpoint).toList();
        for (Endpoint e : endpoints) {
            network.named.put(e, 1.8);
            demand.put(e, 6.0);
        }
        network.play(SETTLE_MS, demand);
        long start = network.clock.nanoTime();
        network.play(OBSERVED_MS, demand);
        for (Endpoint e : endpoints) {
            assertThat(network.mostInFourSeconds(e, start)).isLessThanOrEqualTo(allowed(1.8));
            assertThat(network.arrivals(e, start) / (1.8 * OBSERVED_MS / 1_000)).isGreaterThanOrEqualTo(MIN_USED);
        }
    }

    @ParameterizedTest
    @CsvSource({"9", "95"})
    void nodeThatStartsLearnsTheLimitsFromItsPeers(int nodes) {
        PermitNetwork network = network(nodes, 1);
        network.named.put(ENDPOINT, 0.3);
        network.play(SETTLE_MS, Map.of(ENDPOINT, 20.0));
        PermitNetwork.Node started = network.nodes.get(nodes - 1);
        started.restart();
        network.nodes.get(0).exchange.peerConnected(started.name);
        network.play(10, Map.of());
        assertThat(started.exchange.limitedEndpoints()).isEqualTo(1);
    }

    /** A node that stood still reads an answer from before the limit; the others have learned the limit meanwhile. */
    @ParameterizedTest
    @CsvSource({"-1, 2", "5, 2", "1, 1"})
    void answerToAnOlderRequestDoesNotRaiseTheLimit(double said, double expected) {
        PermitNetwork network = network(2, 1);
        PermitExchange exchange = network.nodes.get(0).exchange;
        long sent = network.clock.nanoTime();
        network.play(100, Map.of());
        exchange.observe(ENDPOINT, 2, network.clock.nanoTime());
        network.play(100, Map.of());
        exchange.observe(ENDPOINT, said, sent);
        network.play(200, Map.of());
        assertThat(exchange.intervalMs(ENDPOINT)).isEqualTo(Math.round(1_000 / expected));
        assertThat(network.nodes.get(1).exchange.intervalMs(ENDPOINT)).isEqualTo(Math.round(1_000 / expected));
    }

    @ParameterizedTest
    @CsvSource({"0", "0.05"})
    void endpointThatTakesNothingGetsOneRequestInTenSeconds(double limit) {
        PermitNetwork network = network(9, 1);
        network.nodes.get(0).exchange.observe(ENDPOINT, limit, network.clock.nanoTime());
        network.named.put(ENDPOINT, limit);
        network.play(SETTLE_MS, Map.of());
        long start = network.clock.nanoTime();
        network.play(100_000, Map.of(ENDPOINT, 20.0));
        assertThat(network.arrivals(ENDPOINT, start)).isBetween(5L, 10L);
        network.named.put(ENDPOINT, EndpointLimit.NONE);
        network.play(15_000, Map.of(ENDPOINT, 20.0));
        assertThat(network.nodes).allMatch(n -> n.exchange.limitedEndpoints() == 0);
    }

    @Test
    void returnedPermitOfAnEndpointWithoutALimitSendsNothing() {
        PermitNetwork network = network(9, 1);
        network.nodes.forEach(n -> n.exchange.giveBack(ENDPOINT));
        assertThat(network.messages).isZero();
    }

    private static PermitNetwork network(int nodes, int seed) {
        return new PermitNetwork(nodes, RandomSource.XO_SHI_RO_256_PP.create(seed));
    }

    private static int allowed(double limit) {
        return (int) (1.5 * limit * 4 + 5);
    }

    private static double used(PermitNetwork network, double limit, long start) {
        return network.arrivals(ENDPOINT, start) / (limit * OBSERVED_MS / 1_000);
    }
}
