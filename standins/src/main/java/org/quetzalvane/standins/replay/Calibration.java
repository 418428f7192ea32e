package org.quetzalvane.standins.replay;

import java.time.Duration;

import org.quetzalvane.core.load.DispatchConfig;
import org.quetzalvane.core.node.NodeConfig;

/**
 * Generates traces of a workload at a given load level: bisects the factor on the request rate until the baseline
 * policy, on a store without a rate limit, starts as many loads per second as the load level asks for. Deterministic;
 * not thread-safe.
 */
public final class Calibration {
    private static final double UNLIMITED_LOADS_PER_SECOND = 10_000;
    private static final int BISECTION_STEPS = 7;
    private static final double MIN_RATE_FACTOR = 0.02;
    private static final double MAX_RATE_FACTOR = 8;

    private final WorkloadProfile profile;
    private final long seed;
    private final int slots;
    private final int batchSize;
    private final Duration arrivalPeriod;

    /**
     * Creates a calibration for one workload and engine size.
     *
     * @param arrivalPeriod period in which the requests of a trace arrive
     */
    public Calibration(WorkloadProfile profile, long seed, int slots, int batchSize, Duration arrivalPeriod) {
        this.profile = profile;
        this.seed = seed;
        this.slots = slots;
        this.batchSize = batchSize;
        this.arrivalPeriod = arrivalPeriod;
    }

    /** Generates the trace at a load level. */
    public Trace generateTrace(LoadLevel level) {
        return generateAtRate(findRateFactor(level.relativeLoadRate() * profile.loadsPerSecond()));
    }

    private double findRateFactor(double targetLoadsPerSecond) {
        double low = MIN_RATE_FACTOR;
        double high = MAX_RATE_FACTOR;
        for (int i = 0; i < BISECTION_STEPS; i++) {
            double middle = Math.sqrt(low * high);
            if (baselineLoadRate(middle) < targetLoadsPerSecond) {
                low = middle;
            } else {
                high = middle;
            }
        }
        return Math.sqrt(low * high);
    }

    private double baselineLoadRate(double rateFactor) {
        Trace limited = generateAtRate(rateFactor);
        Trace unlimited = new Trace(limited.header().withLoadsPerSecond(UNLIMITED_LOADS_PER_SECOND), limited.events());
        NodeConfig baseline = TraceReplayer.baseNodeConfig().withDispatch(DispatchConfig.baseline());
        return TraceReplayer.replay(unlimited, baseline).loads() / (double) arrivalPeriod.toSeconds();
    }

    private Trace generateAtRate(double rateFactor) {
        return TraceGenerator.generate(profile, seed, rateFactor, slots, batchSize, arrivalPeriod.toMillis());
    }
}
