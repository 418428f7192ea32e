package org.quetzalvane.entry;

import java.util.Locale;

import org.quetzalvane.core.limit.ConnectionTable;
import org.quetzalvane.core.limit.MemoryAccount;
import org.quetzalvane.core.residency.LoadTimeEstimator;
import org.quetzalvane.core.team.AssignmentLease;
import org.quetzalvane.core.team.PeerTable;
import org.quetzalvane.transport.HttpServer;

/** Registers the gauges of a node's state. Stateless. */
final class NodeGauges {
    private NodeGauges() {}

    static void register(
            EntryMetrics metrics,
            HttpServer callerServer,
            PlatformState platform,
            PeerTable peerTable,
            PeerService peerService,
            AssignmentLease lease,
            LoadTimeEstimator loadTimes) {
        metrics.gauge("callers_unanswered", callerServer::busyConnections);
        metrics.gauge("operator_records_age_ms", platform::configAgeMs);
        metrics.gauge("endpoint_entries_age_ms", platform::entriesAgeMs);
        metrics.gauge("peers_up", () -> peerTable.nodes().size());
        metrics.gauge("hub", () -> peerService.isHub() ? 1 : 0);
        metrics.gauge("stream_origins", () -> peerService.streamOrigins().size());
        metrics.gauge("endpoints_limited", () -> peerService.permits().limitedEndpoints());
        metrics.gauge("permits_granted", () -> peerService.permits().granted());
        metrics.gauge("permits_denied", () -> peerService.permits().denied());
        metrics.accountUses(() -> peerService.allowances().uses());
        metrics.gauge("budgets_held", () -> peerService.allowances().held());
        metrics.gauge("members", () -> peerTable.members().size());
        metrics.gauge("loads_in_flight", loadTimes::loadsInFlight);
        metrics.gauge("loads_at_full_speed", () -> (long) loadTimes.fullSpeedLoads());
        metrics.gauge("duties_held", () -> lease.owned().size());
        metrics.gauge("duty_generation", lease::generation);
    }

    /** Registers the gauges of the connections of clients, by listener. */
    static void registerConnections(EntryMetrics metrics, ListenerConnections connections) {
        registerConnections(metrics, "callers", connections.callers());
        registerConnections(metrics, "directory", connections.directory());
        registerConnections(metrics, "readiness", connections.readiness());
    }

    private static void registerConnections(EntryMetrics metrics, String listener, ConnectionTable table) {
        String label = "{listener=\"" + listener + "\"}";
        metrics.gauge("connections_open" + label, table::open);
        metrics.gauge("connections_refused" + label, table::refused);
        metrics.gauge("connections_displaced" + label, table::displaced);
    }

    /** Registers the gauges of the memory that requests and responses hold. */
    static void registerMemory(EntryMetrics metrics, HttpServer callerServer, MemoryAccount memory) {
        metrics.gauge("response_bytes_unsent", callerServer::unsentBytes);
        for (MemoryAccount.Kind k : MemoryAccount.Kind.values()) {
            String label = "{kind=\"" + k.name().toLowerCase(Locale.ROOT) + "\"}";
            metrics.gauge("memory_held_bytes" + label, () -> memory.held(k));
            metrics.gauge("memory_share_bytes" + label, () -> memory.share(k));
            metrics.gauge("memory_refused" + label, () -> memory.refused(k));
        }
    }
}
