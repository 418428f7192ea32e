package org.quetzalvane.core.team;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import org.quetzalvane.core.event.EventCode;
import org.quetzalvane.core.event.StructuredLog;
import org.quetzalvane.core.fleet.EndpointTable;
import org.quetzalvane.core.fleet.ServiceVersion;
import org.quetzalvane.core.serve.ServedVersions;
import org.quetzalvane.core.store.KeyedTopic;
import org.quetzalvane.core.store.SharedRead;
import org.quetzalvane.core.store.WritableTopic;
import org.quetzalvane.core.time.Scheduler;
import org.quetzalvane.core.time.Stopwatch;

/**
 * The software versions that have served each service, kept in the platform's store beyond the life of all nodes.
 *
 * <p>A node that started after a version had left the endpoints' list would otherwise take the remaining version for
 * the one that began a stream. One node, the writer, records each version when its first endpoint is listed, and
 * removes it once it has been missing for {@link EndpointTable#RETENTION_MS}, longer than any stream lasts. A node that
 * is asked for a stream of unknown origin reads the list and the records anew, unless it knows several versions: it may
 * have been frozen or cut off while another version joined.
 *
 * <p>Knowing one version proves nothing unless the history is complete, that is, unless no version that this node does
 * not know can have begun a stream that still lasts. It is complete if the records state so for the current epoch of
 * the store, if there are no records at all because no node has served before, or once the node has followed the list
 * for the retention time. It is incomplete again after a gap in following the list, and after a restore of the store
 * that the node did not follow. Confined to the event loop.
 */
public final class ServedVersionTable implements ServedVersions {
    /** Interval at which the writer compares the list with what it has recorded, ms. */
    static final long CHECK_INTERVAL_MS = 500;
    /** Time after which a read of the list or of the records counts as failed, ms. */
    public static final long LOOKUP_TIMEOUT_MS = 300;
    /** Shortest interval between reads of the records while the history is incomplete, ms. */
    static final long REREAD_INTERVAL_MS = 2_000;

    private final Scheduler scheduler;
    private final WritableTopic topic;
    private final EndpointTable endpoints;
    private final BooleanSupplier listCurrent;
    private final BooleanSupplier writer;
    private final StructuredLog log;
    private final SharedRead listReads;
    private final SharedRead recordReads;
    /** Time since which this node has followed the endpoints' list without a gap, or -1. */
    private long followedSinceNanos = -1;
    /** Whether this node knows all versions that streams which still last may have begun at. */
    private boolean complete;
    /** Versions that the store held when this node began to follow the list, or null. */
    private Set<ServiceVersion> recorded;
    /** Versions that the store held when a lookup last read them. */
    private Set<ServiceVersion> lastRead = Set.of();
    /** What this node, as the writer, last found or wrote in the store; null if it must look again. */
    private Written confirmed;
    /** Runs since the records were last asked for because the history was incomplete; null before that. */
    private Stopwatch sinceRead;

    private boolean writing;

    /**
     * What the records hold.
     *
     * @param listed listed versions, all of which are recorded
     * @param complete whether the records state that they are complete
     * @param epoch epoch of the store
     */
    private record Written(Set<ServiceVersion> listed, boolean complete, long epoch) {}

    /**
     * Creates the table of a node that knows nothing yet.
     *
     * @param topic topic of the records
     * @param endpoints listed endpoints
     * @param listReads reads the list anew and applies it to the endpoints
     * @param listCurrent whether the endpoints' list is known and up to date
     * @param writer whether this node is the one that writes
     */
    public ServedVersionTable(
            Scheduler scheduler,
            WritableTopic topic,
            EndpointTable endpoints,
            SharedRead listReads,
            BooleanSupplier listCurrent,
            BooleanSupplier writer,
            StructuredLog log) {
        this.scheduler = scheduler;
        this.topic = topic;
        this.endpoints = endpoints;
        this.listReads = listReads;
        this.listCurrent = listCurrent;
        this.writer = writer;
        this.log = log;
        this.recordReads = new SharedRead(scheduler, topic, Duration.ofMillis(LOOKUP_TIMEOUT_MS), this::recordsRead);
    }

    /** Starts following the list, and recording while this node is the writer. */
    public void start() {
        check();
    }

    /**
     * Processes that the store came back from a copy, which may lack records. A node that did not follow the list until
     * then may have missed versions that nobody can tell it of any more.
     */
    public void storeRestored() {
        confirmed = null;
        if (!listCurrent.getAsBoolean()) {
            forget("restored while the list was not current");
        }
    }

    @Override
    public void find(String service, Consumer<Set<String>> done) {
        if (endpoints.softwareVersions(service).size() > 1) {
            done.accept(endpoints.softwareVersions(service));
            return;
        }
        listReads.then(listRead -> {
            if (listRead) {
                recordReads.then(recordsRead -> done.accept(recordsRead && complete ? versions(service) : Set.of()));
            } else {
                done.accept(Set.of());
            }
        });
    }

    @Override
    public boolean maySeveralServe() {
        if (!complete) {
            readRecords();
            return true;
        }
        Set<ServiceVersion> versions = served();
        return versions.stream().map(ServiceVersion::service).distinct().count() < versions.size();
    }

    private Set<String> versions(String service) {
        Set<ServiceVersion> all = served();
        all.addAll(lastRead);
        Set<String> versions = new HashSet<>();
        all.stream().filter(v -> v.service().equals(service)).forEach(v -> versions.add(v.softwareVersion()));
        return versions;
    }

    /** Versions known to have served within the retention time. */
    private Set<ServiceVersion> served() {
        Set<ServiceVersion> versions = new HashSet<>(endpoints.softwareVersions());
        if (recorded != null && !followedLongEnough()) {
            versions.addAll(recorded);
        }
        return versions;
    }

    private boolean followedLongEnough() {
        return followedSinceNanos >= 0
                && scheduler.nanoTime() - followedSinceNanos >= EndpointTable.RETENTION_MS * 1_000_000;
    }

    private void readRecords() {
        if (sinceRead == null || sinceRead.elapsedMs() >= REREAD_INTERVAL_MS) {
            sinceRead = Stopwatch.start(scheduler);
            recordReads.then(read -> {});
        }
    }

    private void recordsRead(KeyedTopic.ReadResult result) {
        ServedVersionRecords read = ServedVersionRecords.decode(result, log);
        if (read != null) {
            lastRead = read.versions();
            apply(read);
        }
    }

    private void apply(ServedVersionRecords read) {
        if (recorded == null) {
            recorded = read.versions();
        }
        if (read.completeEpoch() == topic.epoch()) {
            complete("stated by the records");
        } else if (read.isEmpty()) {
            complete("no records");
        }
    }

    private void complete(String why) {
        if (!complete) {
            complete = true;
            logHistory(why);
        }
    }

    /** Starts anew to follow the list: versions may have joined and left unseen. */
    private void forget(String why) {
        followedSinceNanos = -1;
        recorded = null;
        sinceRead = null;
        if (complete) {
            complete = false;
            logHistory(why);
        }
    }

    private void logHistory(String why) {
        log.log(EventCode.VERSION_HISTORY, "store", "complete", complete, "why", why, "epoch", topic.epoch());
    }

    private void check() {
        scheduler.schedule(Duration.ofMillis(CHECK_INTERVAL_MS), this::check);
        if (!listCurrent.getAsBoolean()) {
            forget("list not current");
            confirmed = null;
            return;
        }
        if (followedSinceNanos < 0) {
            followedSinceNanos = scheduler.nanoTime();
        }
        if (followedLongEnough()) {
            complete("followed");
        }
        Set<ServiceVersion> listed = endpoints.softwareVersions();
        if (!writer.getAsBoolean()) {
            confirmed = null;
            if (!complete && !listed.isEmpty()) {
                readRecords();
            }
            return;
        }
        if (!writing && !listed.isEmpty() && !new Written(listed, complete, topic.epoch()).equals(confirmed)) {
            writing = true;
            topic.readNewest(result -> writeDifference(listed, result));
        }
    }

    private void writeDifference(Set<ServiceVersion> listed, KeyedTopic.ReadResult result) {
        ServedVersionRecords stored = ServedVersionRecords.decode(result, log);
        if (stored == null || !writer.getAsBoolean() || !listCurrent.getAsBoolean()) {
            writing = false;
            return;
        }
        apply(stored);
        Set<ServiceVersion> missing = difference(served(), stored.versions());
        Set<ServiceVersion> obsolete = difference(stored.versions(), listed);
        if (!obsolete.isEmpty() && !followedLongEnough()) {
            obsolete = Set.of();
            scheduler.schedule(Duration.ofMillis(EndpointTable.RETENTION_MS), () -> confirmed = null);
        }
        Written next = new Written(listed, complete, topic.epoch());
        boolean states = complete && stored.completeEpoch() != next.epoch;
        if (missing.isEmpty() && obsolete.isEmpty() && !states) {
            written(next, true);
            return;
        }
        log.log(
                EventCode.SERVED_VERSIONS,
                "store",
                "added",
                missing,
                "removed",
                obsolete,
                "complete",
                complete,
                "epoch",
                next.epoch);
        Map<String, byte[]> values = new HashMap<>(ServedVersionRecords.encode(missing));
        if (states) {
            values.putAll(ServedVersionRecords.encodeStatement(next.epoch));
        }
        topic.write(values, ServedVersionRecords.keys(obsolete), acknowledged -> written(next, acknowledged));
    }

    private void written(Written state, boolean acknowledged) {
        writing = false;
        confirmed = acknowledged ? state : null;
    }

    private static Set<ServiceVersion> difference(Set<ServiceVersion> all, Set<ServiceVersion> without) {
        Set<ServiceVersion> rest = new HashSet<>(all);
        rest.removeAll(without);
        return rest;
    }
}
