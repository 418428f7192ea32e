package org.quetzalvane.core.ownership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;
import org.quetzalvane.core.ownership.OwnershipSimulation.NodeProcess;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Runs three nodes and one engine, which does not check fencing tokens, through every step sequence of length
 * {@code exploration.depth} and through longer random sequences. Most steps inject a fault. The simulation fails if two
 * processes may dispatch at the same time.
 */
class OwnershipExplorationTest {
    private static final int DEPTH = Integer.getInteger("exploration.depth", 3);
    private static final Duration SETTLE = Duration.ofSeconds(2);
    private static final Duration RECOVERY = Duration.ofSeconds(25);
    private static final List<Step> STEPS = steps();

    /** A step of a sequence: a fault, its end, or the passing of time. */
    private record Step(String name, Consumer<OwnershipSimulation> action) {
        @Override
        public String toString() {
            return name;
        }
    }

    @Test
    void atMostOneProcessDispatchesAfterEveryShortSequence() {
        List<Integer> path = new ArrayList<>();
        int explored = explore(path);
        assertThat(explored).isEqualTo((int) Math.pow(STEPS.size(), DEPTH));
    }

    @Property(tries = 1000, seed = "20261203")
    void atMostOneProcessDispatchesAfterLongRandomSequences(@ForAll("sequences") List<Integer> sequence) {
        run(sequence);
    }

    @Provide
    Arbitrary<List<Integer>> sequences() {
        return Arbitraries.integers()
                .between(0, STEPS.size() - 1)
                .list()
                .ofMinSize(20)
                .ofMaxSize(40);
    }

    @Test
    void engineIsOwnedAgainAfterRecordsExpiredAndAllNodesRestarted() {
        OwnershipSimulation s = startSimulation();
        s.expire();
        OwnershipSimulation.NODES.forEach(n -> restart(s, n));
        s.advance(RECOVERY);
        assertThat(s.dispatching()).hasSize(1);
    }

    private static int explore(List<Integer> path) {
        if (path.size() == DEPTH) {
            run(path);
            return 1;
        }
        int explored = 0;
        for (int i = 0; i < STEPS.size(); i++) {
            path.add(i);
            explored += explore(path);
            path.remove(path.size() - 1);
        }
        return explored;
    }

    private static void run(List<Integer> sequence) {
        OwnershipSimulation s = startSimulation();
        try {
            sequence.forEach(i -> STEPS.get(i).action.accept(s));
            s.advance(SETTLE);
        } catch (AssertionError e) {
            List<Step> steps = sequence.stream().map(STEPS::get).toList();
            throw new AssertionError(e.getMessage() + " after " + steps, e);
        }
    }

    private static OwnershipSimulation startSimulation() {
        OwnershipSimulation s = new OwnershipSimulation();
        OwnershipSimulation.NODES.forEach(s::start);
        s.advance(SETTLE);
        assertThat(s.dispatching()).hasSize(1);
        return s;
    }

    private static List<Step> steps() {
        List<Step> steps = new ArrayList<>();
        steps.add(new Step("wait", s -> s.advance(Duration.ofMillis(900))));
        steps.add(new Step("wait past the lease", s -> s.advance(Duration.ofMillis(3600))));
        steps.add(new Step("expire", OwnershipSimulation::expire));
        for (String n : OwnershipSimulation.NODES) {
            steps.add(step("freeze or thaw " + n, n, NodeProcess::toggleFreeze));
            steps.add(step("log down or up for " + n, n, NodeProcess::toggleLog));
            steps.add(step("delay or deliver appends of " + n, n, NodeProcess::toggleAppendDelay));
            steps.add(new Step("restart " + n, s -> restart(s, n)));
        }
        steps.add(new Step("second process of n1", s -> s.start("n1")));
        return steps;
    }

    private static Step step(String name, String node, Consumer<NodeProcess> action) {
        return new Step(name, s -> {
            action.accept(s.node(node));
            s.advance(Duration.ofMillis(300));
        });
    }

    private static void restart(OwnershipSimulation s, String node) {
        s.node(node).kill();
        s.start(node);
        s.advance(Duration.ofMillis(300));
    }
}
