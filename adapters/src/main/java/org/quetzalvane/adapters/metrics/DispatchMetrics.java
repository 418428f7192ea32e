package org.quetzalvane.adapters.metrics;

import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.RatioGauge;
import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.load.DispatchListener;

/**
 * Records dispatch statistics as Dropwizard metrics. Thread-safe.
 *
 * <p>The gauge {@code batch.efficiency} is {@code batch.used} divided by {@code batch.offered}. The first counts
 * running requests × microseconds and the second batch size × microseconds, both since the process started and only
 * while at least one request runs on the engine.
 */
public final class DispatchMetrics implements DispatchListener {
    private final MetricRegistry registry;
    private final Histogram loadStallMillis;
    private final Histogram queueMillis;
    private final Histogram loadMillis;
    private final Counter failedLoads;
    private final Counter batchUsed;
    private final Counter batchOffered;

    /** Creates the metrics in a registry. */
    public DispatchMetrics(MetricRegistry registry) {
        this.registry = registry;
        this.loadStallMillis = registry.histogram("load.stall.millis");
        this.queueMillis = registry.histogram("queue.millis");
        this.loadMillis = registry.histogram("load.millis");
        this.failedLoads = registry.counter("load.failed");
        this.batchUsed = registry.counter("batch.used");
        this.batchOffered = registry.counter("batch.offered");
        registry.register("batch.efficiency", new BatchEfficiencyGauge());
    }

    @Override
    public void dispatched(long queuedNanos, long loadStallNanos) {
        queueMillis.update(TimeUnit.NANOSECONDS.toMillis(queuedNanos));
        loadStallMillis.update(TimeUnit.NANOSECONDS.toMillis(loadStallNanos));
    }

    @Override
    public void refused(ResultCode code) {
        registry.counter("refused." + code.number()).inc();
    }

    @Override
    public void batchOccupancy(int running, int batchSize, long nanos) {
        long micros = TimeUnit.NANOSECONDS.toMicros(nanos);
        batchUsed.inc(running * micros);
        batchOffered.inc(batchSize * micros);
    }

    @Override
    public void loadEnded(boolean successful, long nanos) {
        if (successful) {
            loadMillis.update(TimeUnit.NANOSECONDS.toMillis(nanos));
        } else {
            failedLoads.inc();
        }
    }

    private final class BatchEfficiencyGauge extends RatioGauge {

        @Override
        protected Ratio getRatio() {
            return Ratio.of(batchUsed.getCount(), batchOffered.getCount());
        }
    }
}
