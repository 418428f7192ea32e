package org.quetzalvane.core.team;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Messages that allowances cost while demand is half of them: 16 accounts, 650 requests a second in all. */
class AllowanceMessagesTest {
    private static final int ACCOUNTS = 16;
    private static final double REQUESTS_PER_S = 650;
    private static final int LOW_MESSAGES_PER_S = 400;
    private static final long SETTLE_MS = 8_000;
    private static final long OBSERVED_MS = 10_000;
    /** Part of the demand that is due to the large accounts. */
    private static final double LARGE_PART = 0.9;

    /** Guards against more messages than a request and a reply for each request of a caller. */
    @ParameterizedTest
    @CsvSource({"9, 16", "9, 6", "71, 16", "71, 6", "71, 3", "89, 16", "89, 6", "300, 16", "300, 6"})
    void atMostTwoMessagesForARequestWithCallersAtAllNodes(int nodes, int large) {
        assertThat(messagesPerSecond(nodes, nodes, large)).isLessThanOrEqualTo(2.1 * REQUESTS_PER_S);
    }

    /** Guards against leases that do not save messages where a node has several requests within the lease time. */
    @ParameterizedTest
    @CsvSource({"71, 6, 6", "71, 12, 3", "71, 6, 3", "71, 3, 16", "71, 3, 6"})
    void fewMessagesWithCallersOfAnAccountAtFewNodes(int nodes, int nodesOfAnAccount, int large) {
        assertThat(messagesPerSecond(nodes, nodesOfAnAccount, large)).isLessThan(LOW_MESSAGES_PER_S);
    }

    private static double messagesPerSecond(int nodes, int nodesOfAnAccount, int large) {
        PermitNetwork network = new PermitNetwork(nodes, RandomSource.XO_SHI_RO_256_PP.create(1));
        List<AccountTraffic> all = new ArrayList<>();
        for (int i = 0; i < ACCOUNTS; i++) {
            all.add(traffic(network, i, nodesOfAnAccount, large));
        }
        network.clock.advance(Duration.ofMillis(SETTLE_MS / 2));
        all.forEach(t -> t.begin(SETTLE_MS + OBSERVED_MS, t.account.allowance().perSecond() / 2));
        network.clock.advance(Duration.ofMillis(SETTLE_MS / 2));
        int before = network.messages;
        network.clock.advance(Duration.ofMillis(OBSERVED_MS));
        double perSecond = (network.messages - before) * 1_000.0 / OBSERVED_MS;
        Measured.add(
                "messages nodes=%d nodes_of_an_account=%d large=%d per_s=%.0f",
                nodes, nodesOfAnAccount, large, perSecond);
        return perSecond;
    }

    private static AccountTraffic traffic(PermitNetwork network, int number, int nodesOfAnAccount, int large) {
        double total = REQUESTS_PER_S * AccountTraffic.MEAN_COST;
        double part = large == ACCOUNTS ? 1 : LARGE_PART;
        double use = number < large ? part * total / large : (1 - part) * total / (ACCOUNTS - large);
        AccountTraffic t = new AccountTraffic(network, "a" + number, 2 * use, 2 * use);
        int first = 7 * number;
        t.node = () -> network.nodes.get((first + network.random.nextInt(nodesOfAnAccount)) % network.nodes.size());
        return t;
    }
}
