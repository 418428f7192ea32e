package org.quetzalvane.entry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.quetzalvane.core.event.EventCode;
import org.quetzalvane.core.event.StructuredLog;
import org.quetzalvane.core.exc.RecordException;
import org.quetzalvane.core.fleet.Endpoint;
import org.quetzalvane.core.fleet.EndpointTable;
import org.quetzalvane.core.routes.CurrentConfig;
import org.quetzalvane.core.routes.RequiredVersions;
import org.quetzalvane.core.store.RecordFollower;
import org.quetzalvane.core.store.StoreRecord;
import org.quetzalvane.core.team.PeerMessage;
import org.quetzalvane.core.time.Scheduler;
import org.quetzalvane.platform.Records;
import org.quetzalvane.platform.StoreClient;

/**
 * What this node believes of the platform: the configuration, the named versions and the endpoints, followed in the
 * store or learned from a peer. A record that cannot be used is logged and passed over. Confined to the event loop.
 */
final class PlatformBeliefs {
    /**
     * How long a read of the operator's records waits, ms: a silent connection hides a change as long, within the 5 s
     * of the stability window and the bound of configuration.
     */
    private static final long CONFIG_WAIT_MS = 3_000;
    /** How long a read of the endpoints' entries waits, ms; one heartbeat of the platform. */
    private static final long ENTRIES_WAIT_MS = 1_000;
    /** Pause between reads of the endpoints' entries, ms: each read is priced, and the list itself lags as much. */
    private static final long ENTRIES_SPACING_MS = 700;

    private static final String OPERATOR = "operator";
    private static final String ENDPOINTS = "endpoints";

    private final CurrentConfig config = new CurrentConfig();
    private final RequiredVersions versions = new RequiredVersions();
    private final EndpointTable endpoints;
    private final RecordFollower operatorRecords;
    private final RecordFollower entries;
    private final StructuredLog log;
    private final Runnable changed;

    /**
     * Builds the beliefs of a node that knows nothing yet.
     *
     * @param changed runs when the configuration or an endpoint changed
     */
    PlatformBeliefs(Scheduler scheduler, StoreClient store, StructuredLog log, Runnable changed) {
        this.log = log;
        this.changed = changed;
        endpoints = new EndpointTable(scheduler);
        operatorRecords =
                new RecordFollower(scheduler, store.operatorRecords(), log, CONFIG_WAIT_MS, 0, this::operatorWrote);
        entries = new RecordFollower(
                scheduler, store.endpointEntries(), log, ENTRIES_WAIT_MS, ENTRIES_SPACING_MS, this::endpointWrote);
    }

    void start() {
        operatorRecords.start();
        entries.start();
    }

    CurrentConfig config() {
        return config;
    }

    RequiredVersions versions() {
        return versions;
    }

    EndpointTable endpoints() {
        return endpoints;
    }

    /** Whether enough is known to serve. */
    boolean complete() {
        return config.current().isPresent() && entries.loaded();
    }

    /** Time since the store last answered for the operator's records, milliseconds. */
    long configAgeMs() {
        return operatorRecords.msSinceLastResponse();
    }

    /** Time since the store last answered for the endpoints' entries, milliseconds. */
    long entriesAgeMs() {
        return entries.msSinceLastResponse();
    }

    /** Number of engines that are ready. */
    int enginesListed() {
        return (int) endpoints.ready().stream().filter(e -> !e.held().isEmpty()).count();
    }

    /** All records known, by topic, to help a peer that cannot reach the store. */
    Map<String, List<StoreRecord>> records() {
        Map<String, List<StoreRecord>> known = new HashMap<>();
        if (config.current().isPresent()) {
            known.put(OPERATOR, List.copyOf(operatorRecords.records()));
        }
        if (entries.loaded()) {
            known.put(ENDPOINTS, List.copyOf(entries.records()));
        }
        return known;
    }

    /** Takes a topic's records from a peer. */
    void offered(PeerMessage.Records r) {
        (r.topic().equals(OPERATOR) ? operatorRecords : entries).applyFromPeer(r.records());
    }

    private void operatorWrote(StoreRecord r) {
        if (r.value() == null) {
            return;
        }
        try {
            if (Records.isConfig(r)) {
                configWritten(r);
            } else {
                Records.namedVersion(r).ifPresent(this::versionNamed);
            }
        } catch (RecordException e) {
            log.log(EventCode.BAD_RECORD, r.key(), "offset", r.offset(), "cause", e.getMessage());
        }
    }

    private void configWritten(StoreRecord r) {
        if (config.update(Records.config(r))) {
            long version = config.current().get().version();
            log.log(EventCode.CONFIG_MOVED, "config", "version", version, "offset", r.offset());
            changed.run();
        }
    }

    private void versionNamed(Records.NamedVersion v) {
        if (versions.update(v.adapter(), v.version())) {
            log.log(EventCode.VERSION_NAMED, v.adapter().toString(), "version", v.version());
        }
    }

    private void endpointWrote(StoreRecord r) {
        if (r.value() == null) {
            log.log(EventCode.ENDPOINT_CHANGED, r.key(), "state", "removed", "offset", r.offset());
            endpoints.remove(r.key());
            changed.run();
            return;
        }
        try {
            Endpoint e = Records.endpoint(r);
            Endpoint before = endpoints.find(e.id());
            endpoints.apply(e);
            if (before == null || before.state() != e.state() || !before.sameInstance(e)) {
                log.log(EventCode.ENDPOINT_CHANGED, e.id(), "state", e.state(), "born", e.bornMs());
            }
            changed.run();
        } catch (RecordException ex) {
            log.log(EventCode.BAD_RECORD, r.key(), "offset", r.offset(), "cause", ex.getMessage());
        }
    }
}
