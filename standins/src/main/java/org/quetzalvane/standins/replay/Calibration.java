package org.quetzalvane.standins.replay;

import java.time.Duration;

import org.quetzalvane.core.load.DispatchConfig;
import org.quetzalvane.core.node.NodeConfig;

/**
 * Finds the factor on a user's rate of requests at which the first baseline, given a store without a limit, starts a
 * wanted number of loads a second. Deterministic; used by one thread.
 */
public final class Calibration {
    private static final double UNLIMITED = 10_000;
    private static final int STEPS = 7;
    private static final double LOWEST = 0.02;
    private static final double HIGHEST = 8;

    private final WorkloadProfile profile;
    private final long seed;
    private final int slots;
    private final int batchSize;
    private final Duration length;

    /** Builds a calibration for one user and engine size. */
    public Calibration(WorkloadProfile profile, long seed, int slots, int batchSize, Duration length) {
        this.profile = profile;
        this.seed = seed;
        this.slots = slots;
        this.batchSize = batchSize;
        this.length = length;
    }

    /** The trace at a load level. */
    public Trace trace(LoadLevel level) {
        return generate(factor(level.share() * profile.loadsPerSecond()));
    }

    private double factor(double wantedLoadsPerSecond) {
        double low = LOWEST;
        double high = HIGHEST;
        for (int i = 0; i < STEPS; i++) {
            double middle = Math.sqrt(low * high);
            if (demand(middle) < wantedLoadsPerSecond) {
                low = middle;
            } else {
                high = middle;
            }
        }
        return Math.sqrt(low * high);
    }

    private double demand(double factor) {
        Trace limited = generate(factor);
        Trace unlimited = new Trace(limited.header().withLoadsPerSecond(UNLIMITED), limited.events());
        NodeConfig baseline = TraceReplayer.nodeConfig().withDispatch(DispatchConfig.baseline());
        return TraceReplayer.replay(unlimited, baseline).loads() / (double) length.toSeconds();
    }

    private Trace generate(double factor) {
        return TraceGenerator.generate(profile, seed, factor, slots, batchSize, length.toMillis());
    }
}
