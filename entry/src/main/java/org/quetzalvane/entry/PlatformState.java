package org.quetzalvane.entry;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;

import org.quetzalvane.core.event.EventCode;
import org.quetzalvane.core.event.StructuredLog;
import org.quetzalvane.core.exc.RecordException;
import org.quetzalvane.core.fleet.Endpoint;
import org.quetzalvane.core.fleet.EndpointTable;
import org.quetzalvane.core.routes.ConfigSource;
import org.quetzalvane.core.routes.CurrentConfig;
import org.quetzalvane.core.routes.RequiredVersions;
import org.quetzalvane.core.routes.ServingConfig;
import org.quetzalvane.core.store.KeyedTopic;
import org.quetzalvane.core.store.PeerRecords;
import org.quetzalvane.core.store.RecordFollower;
import org.quetzalvane.core.store.SharedRead;
import org.quetzalvane.core.store.StoreRecord;
import org.quetzalvane.core.team.PeerMessage;
import org.quetzalvane.core.team.RecordRelay;
import org.quetzalvane.core.team.ServedVersionTable;
import org.quetzalvane.core.time.Scheduler;
import org.quetzalvane.platform.BootSettings;
import org.quetzalvane.platform.RecordDecoder;
import org.quetzalvane.platform.StoreClient;

/**
 * The platform's state as known to this node: the configuration, the required adapter versions and the endpoints, read
 * from the store or received from a peer. A record that cannot be decoded is logged and skipped. Confined to the event
 * loop.
 */
final class PlatformState {
    /**
     * Longest wait of a read of the operator's records, ms. A read that is lost hides a change for this long and until
     * it is overdue, and a hub's members until they stop relying on it; a change must be in force within 2 s.
     */
    static final long CONFIG_WAIT_MS = 1_000;
    /** Longest wait of a read of the endpoints' entries, ms: one heartbeat interval of the platform. */
    static final long ENTRIES_WAIT_MS = 1_000;
    /**
     * Interval between reads of the endpoints' entries, ms: each read is charged for, and the list itself lags as much.
     */
    static final long ENTRIES_INTERVAL_MS = 700;

    /** Age of the endpoints' entries up to which they are up to date, ms: two reads and the intervals after them. */
    private static final long MAX_ENTRIES_AGE_MS = 2 * (ENTRIES_WAIT_MS + ENTRIES_INTERVAL_MS);

    // Names of the topics in the messages between nodes; the store has names of its own.
    private static final String PEER_TOPIC_OPERATOR = "operator";
    private static final String PEER_TOPIC_ENDPOINTS = "endpoints";

    private final CurrentConfig config;
    private final RequiredVersions versions = new RequiredVersions();
    private final EndpointTable endpoints;
    private final RecordFollower operatorRecords;
    private final RecordFollower entries;
    private final ServedVersionTable servedVersions;
    private final StructuredLog log;
    private final Runnable changed;
    /** Whether the batch of records in progress changed the configuration or an endpoint. */
    private boolean batchChanged;

    private RecordRelay relay;

    /**
     * Creates the state of a node that has read nothing yet.
     *
     * @param changed runs after a batch of records in which the configuration or an endpoint changed
     * @param recordsVersions whether this node records in the store which software versions serve
     * @param settings intervals and bounds of the platform
     */
    PlatformState(
            Scheduler scheduler,
            StoreClient store,
            StructuredLog log,
            Runnable changed,
            BooleanSupplier recordsVersions,
            BootSettings settings) {
        this.config = new CurrentConfig(this::configSource, settings.configApplyMs());
        this.log = log;
        this.changed = changed;
        endpoints = new EndpointTable(scheduler);
        operatorRecords = new RecordFollower(
                scheduler, store.operatorRecords(), log, CONFIG_WAIT_MS, 0, this::applyOperatorRecord);
        entries = new RecordFollower(
                scheduler,
                store.endpointEntries(),
                log,
                ENTRIES_WAIT_MS,
                ENTRIES_INTERVAL_MS,
                this::applyEndpointRecord);
        SharedRead listReads = new SharedRead(
                scheduler,
                store.endpointEntries(),
                Duration.ofMillis(ServedVersionTable.LOOKUP_TIMEOUT_MS),
                this::applyListing);
        servedVersions = new ServedVersionTable(
                scheduler,
                new ServedVersionTable.Inputs(
                        store.servedVersions(),
                        endpoints,
                        listReads,
                        this::entriesCurrent,
                        recordsVersions,
                        () -> config.current()
                                .map(ServingConfig::streamsResumable)
                                .orElse(false),
                        settings.reportIntervalMs()),
                log);
        operatorRecords.onBatchApplied(this::batchApplied);
        entries.onBatchApplied(this::batchApplied);
    }

    void start() {
        operatorRecords.start();
        entries.start();
        servedVersions.start();
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

    /** Software versions that serve each service, also before this node started. */
    ServedVersionTable servedVersions() {
        return servedVersions;
    }

    private void applyListing(KeyedTopic.ReadResult page) {
        entries.applyListing(page);
        if (page.outcome() == KeyedTopic.Outcome.OK) {
            servedVersions.listed(page.endOffset());
        }
    }

    private boolean entriesCurrent() {
        return entries.initialized() && entriesAgeMs() <= MAX_ENTRIES_AGE_MS;
    }

    /** Whether the configuration and the endpoints are known, as serving requires. */
    boolean complete() {
        return config.current().isPresent() && entries.initialized();
    }

    /** Time since the store's last response to a read of the operator's records by this node or its hub, ms. */
    long configAgeMs() {
        return ageMs(PEER_TOPIC_OPERATOR);
    }

    /** Time since the store's last response to a read of the endpoints' entries by this node or its hub, ms. */
    long entriesAgeMs() {
        return ageMs(PEER_TOPIC_ENDPOINTS);
    }

    private ConfigSource configSource() {
        String name = relay != null && relay.reliesOnHub(PEER_TOPIC_OPERATOR) ? relay.hub() : "store";
        return new ConfigSource(name, configAgeMs());
    }

    private long ageMs(String topic) {
        long ownMs = follower(topic).msSinceLastResponse();
        return relay == null ? ownMs : relay.ageMs(topic, ownMs);
    }

    /** Number of ready endpoints that have a base model resident. */
    int readyEnginesWithBaseModel() {
        return (int) endpoints.ready().stream().filter(e -> !e.held().isEmpty()).count();
    }

    /** All known records by topic, for a peer that cannot reach the store. */
    Map<String, PeerRecords> records() {
        Map<String, PeerRecords> known = new HashMap<>();
        if (operatorRecords.initialized() && config.current().isPresent()) {
            known.put(PEER_TOPIC_OPERATOR, operatorRecords.records());
        }
        if (entries.initialized()) {
            known.put(PEER_TOPIC_ENDPOINTS, entries.records());
        }
        return known;
    }

    /** How far this node has read each topic that it knows the records of. */
    Map<String, PeerMessage.TopicPosition> positions() {
        Map<String, PeerMessage.TopicPosition> positions = new HashMap<>();
        if (operatorRecords.initialized() && config.current().isPresent()) {
            positions.put(PEER_TOPIC_OPERATOR, position(operatorRecords));
        }
        if (entries.initialized()) {
            positions.put(PEER_TOPIC_ENDPOINTS, position(entries));
        }
        return positions;
    }

    /** Greatest offset applied of a topic, by its name in the messages between nodes. */
    long appliedOffset(String topic) {
        return follower(topic).appliedOffset();
    }

    /**
     * Sets the exchange of records with other nodes, see {@link RecordFollower#exchange}.
     *
     * @param hubRelay decides whether the hub passes the records on
     * @param next receives the topic's name in the messages between nodes, and the records just applied
     */
    void exchange(RecordRelay hubRelay, BiConsumer<String, List<StoreRecord>> next) {
        relay = hubRelay;
        followers()
                .forEach((topic, follower) -> follower.exchange(
                        () -> relay.reliesOnHub(topic), relay::listingDelayMs, records -> next.accept(topic, records)));
    }

    /** Known records by the topic's name in the messages between nodes. */
    Map<String, RecordFollower> followers() {
        return Map.of(PEER_TOPIC_OPERATOR, operatorRecords, PEER_TOPIC_ENDPOINTS, entries);
    }

    private RecordFollower follower(String topic) {
        return topic.equals(PEER_TOPIC_OPERATOR) ? operatorRecords : entries;
    }

    private static PeerMessage.TopicPosition position(RecordFollower f) {
        return new PeerMessage.TopicPosition(f.appliedOffset(), f.msSinceLastResponse());
    }

    /**
     * Reports the changes of a batch at once: all endpoints write an entry each second, and what depends on them goes
     * through all endpoints.
     */
    private void batchApplied() {
        if (batchChanged) {
            batchChanged = false;
            changed.run();
        }
    }

    private void applyOperatorRecord(StoreRecord r) {
        if (r.value() == null) {
            return;
        }
        try {
            if (RecordDecoder.isConfig(r)) {
                applyConfig(r);
            } else {
                RecordDecoder.requiredVersion(r).ifPresent(this::applyRequiredVersion);
            }
        } catch (RecordException e) {
            log.log(EventCode.BAD_RECORD, r.key(), "offset", r.offset(), "cause", e.getMessage());
        }
    }

    private void applyConfig(StoreRecord r) {
        if (config.update(RecordDecoder.config(r))) {
            long version = config.current().get().version();
            log.log(EventCode.CONFIG_MOVED, "config", "version", version, "offset", r.offset());
            batchChanged = true;
        }
    }

    private void applyRequiredVersion(RecordDecoder.RequiredVersion v) {
        if (versions.update(v.adapter(), v.version())) {
            log.log(EventCode.VERSION_NAMED, v.adapter().toString(), "version", v.version());
        }
    }

    private void applyEndpointRecord(StoreRecord r) {
        if (r.value() == null) {
            log.log(EventCode.ENDPOINT_CHANGED, r.key(), "state", "removed", "offset", r.offset());
            endpoints.entryRemoved(r.key());
            servedVersions.entryRemoved(r.key());
            batchChanged = true;
            return;
        }
        try {
            RecordDecoder.EndpointEntry entry = RecordDecoder.entry(r);
            Endpoint e = entry.endpoint();
            Endpoint before = endpoints.find(e.id());
            boolean applied = endpoints.apply(e);
            servedVersions.reported(e, entry.reports(), r.offset());
            if (before == null || before.state() != e.state() || !before.sameInstance(e)) {
                log.log(
                        EventCode.ENDPOINT_CHANGED,
                        e.id(),
                        "state",
                        e.state(),
                        "software",
                        e.softwareVersion(),
                        "born",
                        e.bornMs(),
                        "held_back_ms",
                        applied ? 0 : EndpointTable.HOLD_BACK_MS);
            }
            batchChanged = true;
        } catch (RecordException ex) {
            log.log(EventCode.BAD_RECORD, r.key(), "offset", r.offset(), "cause", ex.getMessage());
        }
    }
}
