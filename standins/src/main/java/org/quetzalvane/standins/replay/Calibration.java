package org.quetzalvane.standins.replay;

import java.time.Duration;

import org.quetzalvane.core.load.DispatchConfig;
import org.quetzalvane.core.node.NodeConfig;

/**
 * Finds the factor on a workload's request rate at which the baseline policy starts a given number of loads per second
 * on a store without a rate limit. Deterministic; used by one thread.
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
    private final Duration length;

    /** Creates a calibration for one workload and engine size. */
    public Calibration(WorkloadProfile profile, long seed, int slots, int batchSize, Duration length) {
        this.profile = profile;
        this.seed = seed;
        this.slots = slots;
        this.batchSize = batchSize;
        this.length = length;
    }

    /** Returns the trace at a load level. */
    public Trace trace(LoadLevel level) {
        return generate(findRateFactor(level.share() * profile.loadsPerSecond()));
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
        Trace limited = generate(rateFactor);
        Trace unlimited = new Trace(limited.header().withLoadsPerSecond(UNLIMITED_LOADS_PER_SECOND), limited.events());
        NodeConfig baseline = TraceReplayer.nodeConfig().withDispatch(DispatchConfig.baseline());
        return TraceReplayer.replay(unlimited, baseline).loads() / (double) length.toSeconds();
    }

    private Trace generate(double rateFactor) {
        return TraceGenerator.generate(profile, seed, rateFactor, slots, batchSize, length.toMillis());
    }
}
