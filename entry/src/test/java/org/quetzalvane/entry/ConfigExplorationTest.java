package org.quetzalvane.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalvane.entry.PausedNodes.Fault;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The operator writes configurations while nodes are frozen, killed, cut off, and links between them fall silent in one
 * direction, as drawn from a seed. On the paused clock; the store is sound.
 */
class ConfigExplorationTest {
    /** Time within which a configuration must be in force, ms. */
    private static final long APPLY_MS = 2_000;
    /** Time after a fault for which nodes are excused, ms. */
    private static final long STABILITY_MS = 3_000;

    private static final int SEEDS = 12;
    private static final int STEP_MS = 50;
    private static final int STEPS = 1_200;
    /** Steps between two faults of nodes, for each few nodes, on average. */
    private static final int FAULT_STEPS = 60;

    private static final int NODES_PER_FAULT = 6;
    /** Steps between two links that fall silent, on average. */
    private static final int SILENCE_STEPS = 160;

    private static final int SETTLED_MS = 10_000;
    private static final int MAX_FAULT_MS = 6_000;
    private static final int WRITE_INTERVAL_MS = 1_300;

    private int judged;

    private record Write(long ms, int version) {}

    /** A link that falls silent counts as a disturbance of all nodes for the stability window, and as none after it. */
    @ParameterizedTest
    @ValueSource(ints = {3, 8, 24})
    void everyNodeInTouchHasTheConfigurationInTime(int count) {
        List<String> late = new ArrayList<>();
        for (int seed = 1; seed <= SEEDS; seed++) {
            late.addAll(explore(seed, count));
        }
        assertThat(late).isEmpty();
        assertThat(judged).as("nodes in touch, at all steps").isGreaterThan(SEEDS * STEPS);
    }

    private List<String> explore(long seed, int count) {
        Random random = new Random(seed);
        PausedNodes nodes = new PausedNodes(true);
        nodes.store.write(PausedNodes.OPERATOR, "config", "1");
        nodes.start(count);
        nodes.advance(SETTLED_MS);
        List<Write> writes = new ArrayList<>(List.of(new Write(0, 1)));
        List<String> late = new ArrayList<>();
        long excusedUntilMs = 0;
        for (int step = 0; step < STEPS; step++) {
            long nowMs = nodes.clock.nanoTime() / 1_000_000;
            if (random.nextInt(WRITE_INTERVAL_MS / STEP_MS) == 0) {
                int version = writes.size() + 1;
                nodes.store.write(PausedNodes.OPERATOR, "config", Integer.toString(version));
                writes.add(new Write(nowMs, version));
            }
            if (random.nextInt(3) == 0) {
                nodes.store.write(PausedNodes.OPERATOR, "version/" + random.nextInt(50), "2");
            }
            for (int i = 0; i <= count / NODES_PER_FAULT; i++) {
                if (random.nextInt(FAULT_STEPS) == 0) {
                    disturb(nodes, random);
                }
            }
            if (random.nextInt(SILENCE_STEPS) == 0) {
                silenceALink(nodes, random);
                excusedUntilMs = nowMs + STABILITY_MS;
            }
            nodes.advance(STEP_MS);
            long laterMs = nowMs + STEP_MS;
            int required = writes.stream()
                    .filter(w -> w.ms() <= laterMs - APPLY_MS)
                    .mapToInt(Write::version)
                    .max()
                    .orElse(1);
            if (laterMs >= excusedUntilMs) {
                late.addAll(lateNodes(nodes, required, "seed " + seed + " at " + laterMs));
            }
        }
        return late;
    }

    private List<String> lateNodes(PausedNodes nodes, int required, String when) {
        return nodes.all().stream()
                .filter(n -> n.undisturbedFor(STABILITY_MS))
                .peek(n -> judged++)
                .filter(n -> Integer.parseInt(n.values().getOrDefault("config", "0")) < required)
                .map(n -> when + ": " + n.address + " has " + n.values().get("config") + " instead of " + required)
                .toList();
    }

    private static void disturb(PausedNodes nodes, Random random) {
        PausedNodes.Node n = pick(nodes, random);
        if (!n.undisturbedFor(0)) {
            return;
        }
        Fault f = Fault.values()[random.nextInt(Fault.values().length)];
        n.disturb(f);
        later(nodes, random, () -> {
            if (f == Fault.KILLED) {
                nodes.restart(n.address);
            } else {
                n.recover();
            }
        });
    }

    private static void silenceALink(PausedNodes nodes, Random random) {
        String from = pick(nodes, random).address;
        String to = pick(nodes, random).address;
        nodes.silence(from, to, true);
        later(nodes, random, () -> nodes.silence(from, to, false));
    }

    private static void later(PausedNodes nodes, Random random, Runnable task) {
        nodes.clock.schedule(Duration.ofMillis(200 + random.nextInt(MAX_FAULT_MS)), task);
    }

    private static PausedNodes.Node pick(PausedNodes nodes, Random random) {
        List<PausedNodes.Node> all = List.copyOf(nodes.all());
        return all.get(random.nextInt(all.size()));
    }
}
