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
 * Generates traces from a workload profile: Poisson arrivals, Zipf-distributed popularity of adapters, a sudden shift
 * of popularity halfway through the trace, and bursts before a common deadline. The same seed gives the same trace. Not
 * thread-safe.
 */
public final class TraceGenerator {
    private static final double ZIPF_EXPONENT = 1.1;
    private static final int PREFIX_COUNT = 20;
    private static final int DATA_CENTRES = 4;
    private static final long BURST_PERIOD_MILLIS = 120_000;
    private static final long BURST_LENGTH_MILLIS = 10_000;
    private static final double BURST_FACTOR = 6;
    private static final int MAX_LOADS_IN_FLIGHT = 8;
    private static final long LOAD_MILLIS = 250;
    private static final long TOKEN_MILLIS = 20;
    /** Time after the last deadline for responses to end. */
    private static final long DRAIN_MILLIS = 30_000;

    private final WorkloadProfile profile;
    private final long seed;
    private final UniformRandomProvider random;
    private final SharedStateDiscreteSampler rankSampler;
    private int popularityShift;

    private TraceGenerator(WorkloadProfile profile, long seed) {
        this.profile = profile;
        this.seed = seed;
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        this.rankSampler = RejectionInversionZipfSampler.of(random, profile.adapters(), ZIPF_EXPONENT);
    }

    /**
     * Generates a trace without faults.
     *
     * @param rateFactor factor on the request rate of the profile
     * @param slots adapter slots of each engine
     * @param batchSize requests in one batch of an engine
     * @param lengthMillis period in which requests arrive, in milliseconds
     */
    public static Trace generate(
            WorkloadProfile profile, long seed, double rateFactor, int slots, int batchSize, long lengthMillis) {
        return new TraceGenerator(profile, seed).generateTrace(rateFactor, slots, batchSize, lengthMillis);
    }

    /** Returns a copy of the trace with the given faults, ordered by time. */
    public static Trace withFaults(Trace trace, List<TraceEvent.Fault> faults) {
        List<TraceEvent> all = new ArrayList<>(trace.events());
        all.addAll(faults);
        all.sort(Comparator.comparingLong(TraceEvent::at));
        return new Trace(trace.header(), all);
    }

    private Trace generateTrace(double rateFactor, int slots, int batchSize, long lengthMillis) {
        List<TraceEvent> events = new ArrayList<>();
        ZigguratSampler.Exponential interarrivalTimes = ZigguratSampler.Exponential.of(random);
        double now = 0;
        while (true) {
            double rate = rateFactor * profile.requestsPerSecond() * (inBurst((long) now) ? BURST_FACTOR : 1);
            now += interarrivalTimes.sample() * 1000 / rate;
            if (now >= lengthMillis) {
                break;
            }
            popularityShift = now > lengthMillis / 2.0 ? profile.adapters() / 2 : 0;
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
                MAX_LOADS_IN_FLIGHT,
                LOAD_MILLIS,
                TOKEN_MILLIS,
                profile.batchWeight(),
                lengthMillis + profile.deadlineMillis() + DRAIN_MILLIS,
                TraceHeader.ExpectedOutcomes.noViolations());
    }

    private TraceEvent.Arrival arrival(long at) {
        int adapter = (rankSampler.sample() - 1 + popularityShift) % profile.adapters();
        boolean burst = inBurst(at);
        long deadline = burst ? burstDeadlineMillis(at) - at : profile.deadlineMillis();
        int tokens = profile.tokens() / 2 + random.nextInt(profile.tokens());
        return new TraceEvent.Arrival(
                at,
                "c" + random.nextInt(profile.callers()),
                "a" + adapter,
                1,
                burst ? "summary" : "chat",
                "p" + random.nextInt(PREFIX_COUNT),
                tokens,
                deadline,
                true,
                0);
    }

    private boolean inBurst(long at) {
        long phase = at % BURST_PERIOD_MILLIS;
        return profile.hasBursts()
                && phase >= BURST_PERIOD_MILLIS / 2
                && phase < BURST_PERIOD_MILLIS / 2 + BURST_LENGTH_MILLIS;
    }

    /** Returns the common deadline of the requests of a burst, in milliseconds of trace time. */
    private long burstDeadlineMillis(long atMillis) {
        return atMillis
                - atMillis % BURST_PERIOD_MILLIS
                + BURST_PERIOD_MILLIS / 2
                + BURST_LENGTH_MILLIS
                + profile.deadlineMillis();
    }
}
