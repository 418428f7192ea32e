package org.quetzalvane.standins.replay;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import org.quetzalvane.core.load.DispatchConfig;
import org.quetzalvane.core.node.NodeConfig;

/**
 * Compares the default policy with the baseline by replay, as rows of a Markdown table. Deterministic: the same seed
 * gives the same bytes. Not thread-safe.
 */
public final class PolicyComparison {
    /** Header rows of the table. */
    public static final String HEADER =
            "| user | slots | load | fault | policy | arrived | in time | late | failed | refused "
                    + "| refused p99 ms | stall p50 ms | p95 | p99 | stall ms per request | queue p95 ms "
                    + "| batch efficiency | loads | most in 10 s | in flight | wrong |\n"
                    + "|"
                    + "---|".repeat(21);

    private static final String ROW_FORMAT = "| %s | %d | %s | %s | %s | %d | %d | %d | %d | %d | %d | %d | %d | %d "
            + "| %.0f | %d | %.3f | %d | %d | %d | %d |";
    private static final String BOUND_ROW_FORMAT =
            "| %s | %d | %s | %s | offline bound | %d | | | | | | | | | %.0f | | | %d | | | |";
    private static final int BATCH_SIZE = 16;

    private final long seed;
    private final Duration arrivalPeriod;

    public PolicyComparison(long seed, Duration arrivalPeriod) {
        this.seed = seed;
        this.arrivalPeriod = arrivalPeriod;
    }

    /** Returns the rows of one workload and engine size at every load level without faults. */
    public List<String> compareLoadLevels(WorkloadProfile workload, int slots) {
        Calibration calibration = new Calibration(workload, seed, slots, BATCH_SIZE, arrivalPeriod);
        List<String> rows = new ArrayList<>();
        for (LoadLevel level : LoadLevel.values()) {
            rows.addAll(compare(calibration.generateTrace(level), level, FaultPlan.NONE));
        }
        return rows;
    }

    /** Returns the rows of one workload and engine size at the light load level under every fault plan. */
    public List<String> compareFaults(WorkloadProfile workload, int slots) {
        Trace trace = new Calibration(workload, seed, slots, BATCH_SIZE, arrivalPeriod).generateTrace(LoadLevel.LIGHT);
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
                boundRow(trace, level, plan),
                policyRow(trace, level, plan, "baseline", config.withDispatch(DispatchConfig.baseline())),
                policyRow(trace, level, plan, "default", config));
    }

    private static String boundRow(Trace trace, LoadLevel level, FaultPlan plan) {
        LowerBound lowerBound = LowerBound.of(trace);
        long arrived = trace.events().stream()
                .filter(TraceEvent.Arrival.class::isInstance)
                .count();
        return String.format(
                Locale.ROOT,
                BOUND_ROW_FORMAT,
                trace.header().name(),
                trace.header().slots(),
                level,
                plan,
                arrived,
                lowerBound.stallMillis() / (double) arrived,
                lowerBound.loads());
    }

    private static String policyRow(Trace trace, LoadLevel level, FaultPlan plan, String policy, NodeConfig config) {
        ReplayReport report = TraceReplayer.replay(trace, config);
        TraceHeader header = trace.header();
        return String.format(
                Locale.ROOT,
                ROW_FORMAT,
                header.name(),
                header.slots(),
                level,
                plan,
                policy,
                report.arrived(),
                report.finished(),
                report.late(),
                report.failures().values().stream().mapToInt(Integer::intValue).sum(),
                report.refusals().values().stream().mapToInt(Integer::intValue).sum(),
                report.refusalTime().p99(),
                report.stall().p50(),
                report.stall().p95(),
                report.stall().p99(),
                report.stallPerRequest(),
                report.queue().p95(),
                report.batchEfficiency(),
                report.loads(),
                report.maxPerTenSeconds(),
                report.maxInFlight(),
                report.wrong());
    }
}
