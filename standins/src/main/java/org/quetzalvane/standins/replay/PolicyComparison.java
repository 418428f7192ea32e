package org.quetzalvane.standins.replay;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import org.quetzalvane.core.load.DispatchConfig;
import org.quetzalvane.core.node.NodeConfig;

/**
 * Compares the decisions with the first baseline for both users, at every load level and every fault, as rows of a
 * Markdown table. Deterministic: the same seed gives the same bytes. Used by one thread.
 */
public final class PolicyComparison {
    /** Header of the table. */
    public static final String HEADER =
            "| user | slots | load | fault | policy | arrived | in time | late | failed | refused "
                    + "| refused p99 ms | stall p50 ms | p95 | p99 | stall ms per request | queue p95 ms "
                    + "| batch efficiency | loads | most in 10 s | in flight | wrong |\n"
                    + "|"
                    + "---|".repeat(21);

    private static final String ROW = "| %s | %d | %s | %s | %s | %d | %d | %d | %d | %d | %d | %d | %d | %d "
            + "| %.0f | %d | %.3f | %d | %d | %d | %d |";
    private static final String BOUND =
            "| %s | %d | %s | %s | offline bound | %d | | | | | | | | | %.0f | | | %d | | | |";
    private static final int BATCH_SIZE = 16;

    private final long seed;
    private final Duration length;

    public PolicyComparison(long seed, Duration length) {
        this.seed = seed;
        this.length = length;
    }

    /** Rows for one user and engine size at every load level without faults. */
    public List<String> compareLoadLevels(WorkloadProfile user, int slots) {
        Calibration calibration = new Calibration(user, seed, slots, BATCH_SIZE, length);
        List<String> rows = new ArrayList<>();
        for (LoadLevel level : LoadLevel.values()) {
            rows.addAll(compare(calibration.trace(level), level, FaultPlan.NONE));
        }
        return rows;
    }

    /** Rows for one user and engine size at the light load under every fault. */
    public List<String> compareFaults(WorkloadProfile user, int slots) {
        Trace trace = new Calibration(user, seed, slots, BATCH_SIZE, length).trace(LoadLevel.LIGHT);
        List<String> rows = new ArrayList<>();
        for (FaultPlan plan : FaultPlan.values()) {
            if (plan != FaultPlan.NONE) {
                rows.addAll(compare(plan.addTo(trace), LoadLevel.LIGHT, plan));
            }
        }
        return rows;
    }

    private static List<String> compare(Trace trace, LoadLevel level, FaultPlan plan) {
        NodeConfig config = TraceReplayer.nodeConfig(trace.header());
        return List.of(
                bound(trace, level, plan),
                row(trace, level, plan, "baseline", config.withDispatch(DispatchConfig.baseline())),
                row(trace, level, plan, "default", config));
    }

    private static String bound(Trace trace, LoadLevel level, FaultPlan plan) {
        LowerBound b = LowerBound.of(trace);
        long arrived = trace.events().stream()
                .filter(TraceEvent.Arrival.class::isInstance)
                .count();
        return String.format(
                Locale.ROOT,
                BOUND,
                trace.header().name(),
                trace.header().slots(),
                level,
                plan,
                arrived,
                b.stallMillis() / (double) arrived,
                b.loads());
    }

    private static String row(Trace trace, LoadLevel level, FaultPlan plan, String policy, NodeConfig config) {
        ReplayReport r = TraceReplayer.replay(trace, config);
        TraceHeader h = trace.header();
        return String.format(
                Locale.ROOT,
                ROW,
                h.name(),
                h.slots(),
                level,
                plan,
                policy,
                r.arrived(),
                r.finished(),
                r.late(),
                r.failures().values().stream().mapToInt(Integer::intValue).sum(),
                r.refusals().values().stream().mapToInt(Integer::intValue).sum(),
                r.refusalTime().p99(),
                r.stall().p50(),
                r.stall().p95(),
                r.stall().p99(),
                r.stallPerRequest(),
                r.queue().p95(),
                r.batchEfficiency(),
                r.loads(),
                r.maxPerTenSeconds(),
                r.maxInFlight(),
                r.wrong());
    }
}
