package org.quetzalvane.core.team;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import org.quetzalvane.core.event.EventCode;
import org.quetzalvane.core.event.StructuredLog;
import org.quetzalvane.core.fleet.Endpoint;
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
 * the one that began a stream. One node, the writer, keeps records ({@link ServedVersionRecorder}). A node that is
 * asked for a stream of unknown origin reads the list and the records anew, unless it knows several versions at which
 * streams begin: it may have been frozen or cut off while another version joined.
 *
 * <p>Knowing one version proves nothing unless the history is complete, that is, unless no version that this node does
 * not know can have begun a stream that still lasts. It is complete if
 *
 * <ul>
 *   <li>the records state so for the current epoch of the store,
 *   <li>there are no records at all because no node has served before,
 *   <li>the node has followed the list for the retention time, or
 *   <li>the store came back from a copy whose records were complete and that is younger than {@link
 *       ServedVersionRecorder#PENDING_MS}: each version is recorded for longer than that before streams begin at it.
 * </ul>
 *
 * <p>It is incomplete again after a gap in following the list, and after a restore of the store that the node did not
 * follow. Confined to the event loop.
 */
public final class ServedVersionTable implements ServedVersions {
    /** Interval at which the list is compared with what is known and recorded, ms. */
    static final long CHECK_INTERVAL_MS = 500;
    /** Time after which a read of the list or of the records counts as failed, ms. */
    public static final long LOOKUP_TIMEOUT_MS = 300;
    /** Shortest interval between reads of the records while the history is incomplete, ms. */
    static final long REREAD_INTERVAL_MS = 2_000;
    /** Shortest interval between reads of the records while a listed version is not established, ms. */
    static final long PENDING_REREAD_INTERVAL_MS = 5_000;

    private final Scheduler scheduler;
    private final WritableTopic topic;
    private final EndpointTable endpoints;
    private final BooleanSupplier listCurrent;
    private final BooleanSupplier writer;
    private final StructuredLog log;
    private final SharedRead listReads;
    private final SharedRead recordReads;
    private final CopyAge copyAge;
    private final CopyProof copyProof;
    private final VersionEstablishment establishment;
    private final ServedVersionRecorder recorder;
    /** Time since which this node has followed the endpoints' list without a gap, or -1. */
    private long followedSinceNanos = -1;
    /** Versions that were listed when this node first read the list. */
    private final Set<ServiceVersion> listedAtFirst = new HashSet<>();
    /** Whether this node knows all versions that streams which still last may have begun at. */
    private boolean complete;
    /** Versions that the store held when this node began to follow the list, or null. */
    private Set<ServiceVersion> recorded;
    /** What the store held when it was last read. */
    private ServedVersionRecords lastRead = ServedVersionRecords.NONE;
    /** Runs since the records were last asked for at an interval; null before that. */
    private Stopwatch sinceRead;

    /**
     * What the table of a node is based on.
     *
     * @param topic topic of the records
     * @param endpoints listed endpoints
     * @param listReads reads the list anew, applies it to the endpoints, and reports its end to {@link #listed}
     * @param listCurrent whether the endpoints' list is known and up to date
     * @param writer whether this node is the one that writes
     * @param streamsResumable whether callers may resume streams
     * @param reportIntervalMs interval at which endpoints write their entries, milliseconds
     */
    public record Inputs(
            WritableTopic topic,
            EndpointTable endpoints,
            SharedRead listReads,
            BooleanSupplier listCurrent,
            BooleanSupplier writer,
            BooleanSupplier streamsResumable,
            long reportIntervalMs) {}

    /** Creates the table of a node that knows nothing yet. */
    public ServedVersionTable(Scheduler scheduler, Inputs inputs, StructuredLog log) {
        this.scheduler = scheduler;
        this.topic = inputs.topic();
        this.endpoints = inputs.endpoints();
        this.listReads = inputs.listReads();
        this.listCurrent = inputs.listCurrent();
        this.writer = inputs.writer();
        this.log = log;
        this.recordReads = new SharedRead(scheduler, topic, Duration.ofMillis(LOOKUP_TIMEOUT_MS), this::recordsRead);
        this.copyAge = new CopyAge(inputs.reportIntervalMs());
        this.copyProof = new CopyProof(
                scheduler, copyAge, ServedVersionRecorder.PENDING_MS, ageMs -> complete("copy_age_ms=" + ageMs));
        this.establishment = new VersionEstablishment(scheduler, topic, endpoints, () -> lastRead);
        this.recorder = new ServedVersionRecorder(
                scheduler,
                inputs,
                new RecorderKnowledge(),
                establishment,
                copyAge,
                // What is listed again while the age of a copy is unknown must not count as served before the restore.
                () -> writer.getAsBoolean() && listCurrent.getAsBoolean() && !copyProof.isPending(),
                log);
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
        recorder.readAgain();
        copyAge.restored();
        copyProof.forget();
        if (!listCurrent.getAsBoolean()) {
            forget("restored while the list was not current");
        }
    }

    /**
     * Processes an entry of the endpoints' list.
     *
     * @param e the endpoint
     * @param reports number of status reports that the instance has written, by its own count; 0 if it states none
     * @param position position of the entry in the list, which rises over restores as well
     */
    public void reported(Endpoint e, long reports, long position) {
        if (lastRead == ServedVersionRecords.NONE) {
            readRecords(REREAD_INTERVAL_MS);
        }
        if (followedSinceNanos < 0 && !listCurrent.getAsBoolean()) {
            listedAtFirst.add(VersionEstablishment.version(e));
        }
        copyAge.reported(new ReportCounts.Instance(e.id(), e.bornMs()), reports, position);
        copyProof.check();
    }

    /** Processes that an entry was removed from the endpoints' list. */
    public void entryRemoved(String id) {
        copyAge.removed(id);
    }

    /** Processes that the whole list of endpoints was read up to a position, exclusive. */
    public void listed(long end) {
        copyAge.listed(end);
    }

    @Override
    public void find(String service, Consumer<Set<String>> done) {
        if (named(establishment.versions(), service).size() > 1) {
            done.accept(named(served(), service));
            return;
        }
        listReads.then(listRead -> recordReads.then(recordsRead -> {
            if (listRead && recordsRead) {
                conclude(service, done);
            } else {
                done.accept(Set.of());
            }
        }));
    }

    /** Ends a lookup once the list and the records were read. */
    private void conclude(String service, Consumer<Set<String>> done) {
        if (complete) {
            done.accept(named(mayHaveBegunStreams(), service));
        } else if (copyProof.isPending()) {
            copyProof.await(() -> conclude(service, done));
        } else {
            Set<String> known = named(served(), service);
            done.accept(known.size() > 1 ? known : Set.of());
        }
    }

    @Override
    public boolean maySeveralServe() {
        if (!complete) {
            readRecords(REREAD_INTERVAL_MS);
            return true;
        }
        Set<ServiceVersion> versions = served();
        return versions.stream().map(ServiceVersion::service).distinct().count() < versions.size();
    }

    @Override
    public boolean isEstablished(Endpoint e) {
        return establishment.contains(VersionEstablishment.version(e));
    }

    @Override
    public void establish(String service) {
        establishment.establish(service);
    }

    private static Set<String> named(Set<ServiceVersion> versions, String service) {
        return versions.stream()
                .filter(v -> v.service().equals(service))
                .map(ServiceVersion::softwareVersion)
                .collect(Collectors.toSet());
    }

    /** Versions known to have served within the retention time. */
    private Set<ServiceVersion> served() {
        Set<ServiceVersion> versions = new HashSet<>(endpoints.softwareVersions());
        if (recorded != null && !followedLongEnough()) {
            versions.addAll(recorded);
        }
        return versions;
    }

    /**
     * Versions at which streams that still last may have begun, once the records were just read: those that have served
     * and are not unused. Shortly after a restore, streams cannot have begun either at a version that the young copy
     * lacks and no node has recorded since.
     */
    private Set<ServiceVersion> mayHaveBegunStreams() {
        Set<ServiceVersion> versions = served();
        versions.addAll(lastRead.versions());
        Set<ServiceVersion> maybeUsed = maybeUsedUnseen();
        versions.removeIf(v -> !establishment.contains(v)
                && (lastRead.isUnused(v, topic.epoch())
                        || copyProof.provedLately() && !lastRead.versions().contains(v) && !maybeUsed.contains(v)));
        return versions;
    }

    /**
     * Listed versions at which streams may have begun before this node saw their first entries: under the id of an
     * earlier instance, or before this node followed the list.
     */
    private Set<ServiceVersion> maybeUsedUnseen() {
        return endpoints.softwareVersions().stream()
                .filter(v -> listedAtFirst.contains(v) || endpoints.isUpgradedInPlace(v))
                .collect(Collectors.toSet());
    }

    private boolean followedLongEnough() {
        return followedSinceNanos >= 0
                && scheduler.nanoTime() - followedSinceNanos >= EndpointTable.RETENTION_MS * 1_000_000;
    }

    private void readRecords(long intervalMs) {
        if (sinceRead == null || sinceRead.elapsedMs() >= intervalMs) {
            sinceRead = Stopwatch.start(scheduler);
            recordReads.then(read -> {});
        }
    }

    private void recordsRead(KeyedTopic.ReadResult result) {
        ServedVersionRecords read = ServedVersionRecords.decode(result, log);
        if (read != null) {
            apply(read);
        }
    }

    private void apply(ServedVersionRecords read) {
        lastRead = read;
        establishment.read(read);
        if (recorded == null) {
            recorded = read.versions();
        }
        if (read.completeEpoch() == topic.epoch()) {
            complete("stated by the records");
        } else if (read.isEmpty()) {
            complete("no records");
        } else if (!complete && isCopyOfLastEpoch(read)) {
            copyProof.copyFound(read.reports());
            listReads.then(listRead -> {});
        }
    }

    /** Whether records were complete, and told the counts of status reports, until the store came back from a copy. */
    private boolean isCopyOfLastEpoch(ServedVersionRecords read) {
        long before = topic.epoch() - 1;
        return read.completeEpoch() == before
                && read.reports() != null
                && read.reports().epoch() == before;
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
        copyProof.forget();
    }

    private void logHistory(String why) {
        log.log(EventCode.VERSION_HISTORY, "store", "complete", complete, "why", why, "epoch", topic.epoch());
    }

    private void check() {
        scheduler.schedule(Duration.ofMillis(CHECK_INTERVAL_MS), this::check);
        if (!listCurrent.getAsBoolean()) {
            forget("list not current");
            recorder.readAgain();
            return;
        }
        if (followedSinceNanos < 0) {
            followedSinceNanos = scheduler.nanoTime();
        }
        if (followedLongEnough()) {
            complete("followed");
        }
        Set<ServiceVersion> listed = endpoints.softwareVersions();
        establishment.listed(listed);
        if (writer.getAsBoolean()) {
            recorder.check();
        } else {
            recorder.readAgain();
        }
        if (!complete && !writer.getAsBoolean() && !listed.isEmpty()) {
            readRecords(REREAD_INTERVAL_MS);
        } else if (complete && !establishment.versions().containsAll(listed)) {
            readRecords(PENDING_REREAD_INTERVAL_MS);
        }
    }

    /** What the recorder asks of this table. */
    private final class RecorderKnowledge implements ServedVersionRecorder.Knowledge {
        @Override
        public void read(ServedVersionRecords stored) {
            apply(stored);
        }

        @Override
        public Set<ServiceVersion> served() {
            return ServedVersionTable.this.served();
        }

        @Override
        public boolean complete() {
            return complete;
        }

        @Override
        public Set<ServiceVersion> maybeUsedUnseen() {
            return ServedVersionTable.this.maybeUsedUnseen();
        }

        @Override
        public boolean provedByCopyLately() {
            return copyProof.provedLately();
        }

        @Override
        public boolean followedLongEnough() {
            return ServedVersionTable.this.followedLongEnough();
        }
    }
}
