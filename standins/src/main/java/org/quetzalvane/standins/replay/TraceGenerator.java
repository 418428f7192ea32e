package org.quetzalvane.standins.replay;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.RejectionInversionZipfSampler;
import org.apache.commons.rng.sampling.distribution.SharedStateDiscreteSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Generates traces from a profile: Poisson arrivals, steep skew of popularity, a shift of popularity without warning,
 * and bursts before a deadline. The same seed gives the same trace. Not thread-safe.
 */
public final class TraceGenerator {
    private static final double SKEW = 1.1;
    private static final int PREFIXES = 20;
    private static final int DATA_CENTRES = 4;
    private static final long BURST_PERIOD_MILLIS = 120_000;
    private static final long BURST_LENGTH_MILLIS = 10_000;
    private static final double BURST_FACTOR = 6;

    private final WorkloadProfile profile;
    private final long seed;
    private final UniformRandomProvider random;
    private final SharedStateDiscreteSampler rank;
    private int shift;

    private TraceGenerator(WorkloadProfile profile, long seed) {
        this.profile = profile;
        this.seed = seed;
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        this.rank = RejectionInversionZipfSampler.of(random, profile.adapters(), SKEW);
    }

    /**
     * Generates a trace without faults.
     *
     * @param load factor on the profile's rate of requests
     * @param slots adapter slots of each engine
     * @param batchSize requests in one batch of an engine
     * @param lengthMillis time in which requests arrive, in milliseconds
     */
    public static Trace generate(
            WorkloadProfile profile, long seed, double load, int slots, int batchSize, long lengthMillis) {
        return new TraceGenerator(profile, seed).run(load, slots, batchSize, lengthMillis);
    }

    /** Adds faults to a trace, in order of time. */
    public static Trace withFaults(Trace trace, List<TraceEvent.Fault> faults) {
        List<TraceEvent> all = new ArrayList<>(trace.events());
        all.addAll(faults);
        all.sort(Comparator.comparingLong(TraceEvent::at));
        return new Trace(trace.header(), all);
    }

    private Trace run(double load, int slots, int batchSize, long lengthMillis) {
        List<TraceEvent> events = new ArrayList<>();
        ZigguratSampler.Exponential gaps = ZigguratSampler.Exponential.of(random);
        double now = 0;
        while (true) {
            double rate = load * profile.requestsPerSecond() * (inBurst((long) now) ? BURST_FACTOR : 1);
            now += gaps.sample() * 1000 / rate;
            if (now >= lengthMillis) {
                break;
            }
            shift = now > lengthMillis / 2.0 ? profile.adapters() / 2 : 0;
            events.add(arrival((long) now));
        }
        return new Trace(header(slots, batchSize, lengthMillis), events);
    }

    private TraceHeader header(int slots, int batchSize, long lengthMillis) {
        return new TraceHeader(
                profile.name(),
                seed,
                DATA_CENTRES,
                profile.nodes(),
                profile.engines(),
                slots,
                batchSize,
                profile.adapters(),
                profile.loadsPerSecond(),
                8,
                250,
                20,
                profile.batchWeight(),
                lengthMillis + profile.deadlineMillis() + 30_000,
                TraceHeader.ExpectedOutcomes.nothingWrong());
    }

    private TraceEvent.Arrival arrival(long at) {
        int adapter = (rank.sample() - 1 + shift) % profile.adapters();
        boolean burst = inBurst(at);
        long deadline = burst ? burstEnd(at) - at : profile.deadlineMillis();
        int tokens = profile.tokens() / 2 + random.nextInt(profile.tokens());
        return new TraceEvent.Arrival(
                at,
                "c" + random.nextInt(profile.callers()),
                "a" + adapter,
                1,
                burst ? "summary" : "chat",
                "p" + random.nextInt(PREFIXES),
                tokens,
                deadline,
                true,
                0);
    }

    private boolean inBurst(long at) {
        long phase = at % BURST_PERIOD_MILLIS;
        return profile.burst()
                && phase >= BURST_PERIOD_MILLIS / 2
                && phase < BURST_PERIOD_MILLIS / 2 + BURST_LENGTH_MILLIS;
    }

    private long burstEnd(long at) {
        return at - at % BURST_PERIOD_MILLIS + BURST_PERIOD_MILLIS / 2 + BURST_LENGTH_MILLIS + profile.deadlineMillis();
    }
}
