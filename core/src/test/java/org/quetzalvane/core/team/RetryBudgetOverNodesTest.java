package org.quetzalvane.core.team;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalvane.core.choice.RetryBudgetShare;
import org.quetzalvane.core.time.ManualScheduler;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Retries of all nodes together while nodes restart, join and leave and links between them are cut, with endpoints
 * that fail every request. The nodes use too much of the budget if the retries of a window exceed the ratio of the
 * requests of that window, the one before it or the one half a window before it, plus the fixed extra.
 */
class RetryBudgetOverNodesTest {
    private static final double RATIO = 0.2;
    private static final double EXTRA = 56;
    private static final int NODES = 8;
    private static final int STEP_MS = 100;
    private static final int WINDOW_STEPS = 10_000 / STEP_MS;
    /** Interval at which a node reads the list of the members from the store. */
    private static final int MEMBER_LIST_STEPS = 5_000 / STEP_MS;

    private static final int WARM_UP_STEPS = 3 * WINDOW_STEPS;

    private final ManualScheduler clock = new ManualScheduler();
    private final List<Node> nodes = new ArrayList<>();
    private final List<Integer> requests = new ArrayList<>();
    private final List<Integer> retries = new ArrayList<>();
    /** Requests of callers in each step, over all nodes; fractions add up. */
    private double requestsPerStep = 1;

    private double due;
    private boolean failing;
    private boolean storeReachable = true;

    /** A node and the part of the network that it is in; the process is replaced by a restart. */
    private final class Node {
        private final String address;
        private int part;
        private boolean leaving;
        private PeerTable peers;
        private RetryBudgetShare share;
        private int nextListStep;

        Node(int number) {
            address = "n" + number + ":1";
        }

        void start() {
            leaving = false;
            peers = new PeerTable(clock, address, Set.of());
            nextListStep = requests.size() + 10;
            share = new RetryBudgetShare(clock, RATIO, EXTRA, 10_000, peers::retryBudgetNodes);
        }

        void kill() {
            peers = null;
        }

        boolean up() {
            return peers != null;
        }

        PeerMessage.Status status() {
            NodeInfo info = new NodeInfo(address, address, "a", 100, true, true, leaving);
            return new PeerMessage.Status(
                    info, 1, List.of(), List.of(), Map.of(), Map.of(), Map.of(), List.of(), List.of(), 0, 1, 0);
        }
    }

    private void startNodes(int count) {
        for (int n = 0; n < NODES; n++) {
            nodes.add(new Node(n));
        }
        nodes.subList(0, count).forEach(Node::start);
        run(WARM_UP_STEPS);
    }

    private void run(int steps) {
        for (int i = 0; i < steps; i++) {
            if (requests.size() % 3 == 0) {
                exchangeStatuses();
            }
            listMembers();
            due += requestsPerStep;
            int now = (int) due;
            due -= now;
            requests.add(now);
            retries.add(serve(now));
            clock.advance(Duration.ofMillis(STEP_MS));
        }
    }

    private void exchangeStatuses() {
        for (Node from : nodes) {
            for (Node to : nodes) {
                if (from != to && from.up() && to.up() && from.part == to.part) {
                    to.peers.updatePeer(from.status());
                }
            }
        }
    }

    private void listMembers() {
        List<String> members =
                nodes.stream().filter(Node::up).map(n -> n.address).toList();
        for (Node n : nodes) {
            if (n.up() && storeReachable && requests.size() >= n.nextListStep) {
                n.nextListStep += MEMBER_LIST_STEPS;
                members.forEach(n.peers::addKnown);
            }
        }
    }

    /** Callers turn to the nodes that are up in turn; returns the retries that the nodes grant, as many as they can. */
    private int serve(int count) {
        List<Node> up = nodes.stream().filter(Node::up).toList();
        for (int i = 0; i < count && !up.isEmpty(); i++) {
            up.get((requests.size() * 5 + i) % up.size()).share.recordRequest("service");
        }
        int granted = 0;
        for (Node n : up) {
            while (failing && sendRetry(n.share)) {
                granted++;
            }
        }
        return granted;
    }

    private static boolean sendRetry(RetryBudgetShare share) {
        RetryBudgetShare.Reservation retry = share.tryReserve("service");
        return retry != null && retry.use();
    }

    private static int sum(List<Integer> counts, int from) {
        int begin = Math.max(0, from);
        int end = Math.max(begin, from + WINDOW_STEPS);
        return counts.subList(begin, end).stream().mapToInt(i -> i).sum();
    }

    private void assertWithinBudget() {
        double worst = 0;
        String at = "";
        for (int from = WINDOW_STEPS; from + WINDOW_STEPS <= retries.size(); from++) {
            int most = Math.max(
                    sum(requests, from),
                    Math.max(sum(requests, from - WINDOW_STEPS), sum(requests, from - WINDOW_STEPS / 2)));
            double allowed = RATIO * most + EXTRA;
            int used = sum(retries, from);
            if (used / allowed > worst) {
                worst = used / allowed;
                at = "window from " + from * STEP_MS + " ms: " + used + " retries, allowed " + allowed;
            }
        }
        assertThat(worst).as(at).isGreaterThan(0).isLessThanOrEqualTo(1);
    }

    @ParameterizedTest
    @CsvSource({"0.5", "1", "10", "50"})
    void nodesThatRestartOneAfterTheOther(double rate) {
        requestsPerStep = rate;
        startNodes(NODES);
        failing = true;
        for (Node n : nodes) {
            run(5);
            n.kill();
            run(5);
            n.start();
        }
        run(3 * WINDOW_STEPS);
        assertWithinBudget();
    }

    @ParameterizedTest
    @CsvSource({"0.5, 5", "1, 20", "10, 5", "50, 30"})
    void nodesThatAreAllKilledAtOnce(double rate, int downSteps) {
        requestsPerStep = rate;
        startNodes(NODES);
        failing = true;
        run(1);
        nodes.forEach(Node::kill);
        run(downSteps);
        nodes.forEach(Node::start);
        run(3 * WINDOW_STEPS);
        assertWithinBudget();
    }

    @Test
    void nodesThatRestartAgainAndAgain() {
        startNodes(NODES);
        failing = true;
        run(1);
        for (int i = 0; i < 12; i++) {
            nodes.forEach(Node::kill);
            run(5);
            nodes.forEach(Node::start);
            run(25);
        }
        assertWithinBudget();
    }

    @ParameterizedTest
    @CsvSource({"10, true", "120, true", "10, false", "30, false", "120, false"})
    void nodesThatAreCutIntoHalves(int seconds, boolean listed) {
        startNodes(NODES);
        storeReachable = listed;
        nodes.subList(0, NODES / 2).forEach(n -> n.part = 1);
        failing = true;
        run(seconds * 1_000 / STEP_MS);
        storeReachable = true;
        nodes.forEach(n -> n.part = 0);
        run(2 * WINDOW_STEPS);
        assertWithinBudget();
    }

    /** Nodes that hear nothing of each other, from peers or the store, for longer than a silent node counts. */
    @Test
    void nodesThatAreCutForLongerThanTheyAreRemembered() {
        startNodes(NODES);
        storeReachable = false;
        nodes.subList(0, NODES / 2).forEach(n -> n.part = 1);
        run(330_000 / STEP_MS);
        failing = true;
        run(3 * WINDOW_STEPS);
        assertWithinBudget();
    }

    @Test
    void nodesThatJoinAndLeave() {
        startNodes(NODES / 2);
        failing = true;
        run(WINDOW_STEPS / 2);
        nodes.subList(NODES / 2, NODES).forEach(Node::start);
        run(3 * WINDOW_STEPS);
        nodes.subList(0, NODES / 2).forEach(n -> n.leaving = true);
        run(5);
        nodes.subList(0, NODES / 2).forEach(Node::kill);
        run(3 * WINDOW_STEPS);
        assertWithinBudget();
    }

    /** The nodes that remain must not be kept to the shares of nodes that announced that they leave. */
    @Test
    void retriesOfNodesThatHaveLeftAreSharedByTheOthersAfterAWindow() {
        startNodes(NODES);
        nodes.subList(1, NODES).forEach(n -> n.leaving = true);
        run(5);
        nodes.subList(1, NODES).forEach(Node::kill);
        run(2 * WINDOW_STEPS);
        assertThat(nodes.get(0).peers.retryBudgetNodes()).isEqualTo(1);
        nodes.get(1).start();
        run(5);
        assertThat(nodes.get(0).peers.retryBudgetNodes()).isEqualTo(2);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void restartsCutsAndOutagesDrawnFromASeed(int seed) {
        disturb(seed, random -> new double[] {0.3, 1, 3, 10}[seed % 4]);
    }

    /** The same while the requests come in bursts. */
    @ParameterizedTest
    @MethodSource("burstSeeds")
    void restartsCutsAndOutagesWithBurstsDrawnFromASeed(int seed) {
        disturb(seed, random -> random.nextInt(2) * random.nextInt(60));
    }

    static IntStream burstSeeds() {
        return IntStream.range(0, 100);
    }

    private void disturb(int seed, ToDoubleFunction<Random> rate) {
        Random random = new Random(seed);
        requestsPerStep = rate.applyAsDouble(random);
        startNodes(NODES);
        for (int i = 0; i < 60; i++) {
            requestsPerStep = rate.applyAsDouble(random);
            failing = random.nextInt(3) > 0;
            Node n = nodes.get(random.nextInt(NODES));
            switch (random.nextInt(5)) {
                case 0 -> n.kill();
                case 1, 2 -> {
                    n.kill();
                    run(1 + random.nextInt(20));
                    n.start();
                }
                case 3 -> nodes.forEach(m -> m.part = random.nextInt(2));
                default -> nodes.forEach(m -> m.part = 0);
            }
            run(1 + random.nextInt(60));
            nodes.stream().filter(m -> !m.up() && random.nextBoolean()).forEach(Node::start);
        }
        assertWithinBudget();
    }
}
