package org.quetzalvane.node;

import java.util.List;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.jvm.GarbageCollectorMetricSet;
import com.codahale.metrics.jvm.MemoryUsageGaugeSet;
import com.codahale.metrics.jvm.ThreadStatesGaugeSet;
import org.quetzalvane.adapters.http.ConnectionByteCounter;
import org.quetzalvane.adapters.metrics.ThreadCpuTime;
import org.quetzalvane.core.node.Coordinator;

/** Registers the gauges of a node: its state and the resource usage of its control plane. Stateless and thread-safe. */
final class NodeMetrics {
    static final String PLATFORM_THREADS = "platform";

    private static final List<String> CONTROL_THREADS = List.of("timer", "peer", PLATFORM_THREADS);
    private static final long BYTES_PER_OBJECT = 300;
    private static final long BYTES_PER_MEMBER = 1_000;

    private NodeMetrics() {}

    static void register(MetricRegistry registry, Coordinator node, ConnectionByteCounter platform) {
        registerState(registry, node);
        gauge(registry, "control.platform.sent.bytes", platform::sentBytes);
        gauge(registry, "control.platform.received.bytes", platform::receivedBytes);
        for (String prefix : CONTROL_THREADS) {
            ThreadCpuTime time = new ThreadCpuTime(prefix);
            gauge(registry, "control.cpu." + prefix + ".nanos", time::totalNanos);
        }
        registry.register("jvm.memory", new MemoryUsageGaugeSet());
        registry.register("jvm.gc", new GarbageCollectorMetricSet());
        registry.register("jvm.threads", new ThreadStatesGaugeSet());
    }

    private static void registerState(MetricRegistry registry, Coordinator node) {
        gauge(registry, "log.lag.config", node::configLag);
        gauge(registry, "log.lag.ownership", node::ownershipLag);
        gauge(registry, "log.down", () -> node.logDown() ? 1 : 0);
        gauge(registry, "lease.valid", () -> node.ownership().leaseValid() ? 1 : 0);
        gauge(registry, "engines.owned", () -> node.dispatchers().all().size());
        gauge(registry, "control.objects", () -> objectCount(node));
        gauge(registry, "control.members", () -> memberCount(node));
        gauge(
                registry,
                "control.heap.estimate.bytes",
                () -> objectCount(node) * BYTES_PER_OBJECT + memberCount(node) * BYTES_PER_MEMBER);
    }

    private static long objectCount(Coordinator node) {
        return node.config().read(s -> s.unpackedCount());
    }

    private static long memberCount(Coordinator node) {
        long now = node.context().scheduler().nanoTime();
        return node.membership().candidates(now, n -> true).size();
    }

    private static void gauge(MetricRegistry registry, String name, Gauge<Number> gauge) {
        registry.register(name, gauge);
    }
}
