package org.quetzalvane.core.team;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;

import org.quetzalvane.core.event.EventCode;
import org.quetzalvane.core.event.StructuredLog;
import org.quetzalvane.core.fleet.EndpointTable;
import org.quetzalvane.core.fleet.ServiceVersion;
import org.quetzalvane.core.store.KeyedTopic;
import org.quetzalvane.core.store.WritableTopic;
import org.quetzalvane.core.time.Scheduler;

/**
 * Writes the records of served versions, on the one node that is the writer.
 *
 * <p>A version is recorded when its first endpoint is listed, and removed once it has been missing for {@link
 * EndpointTable#RETENTION_MS}, longer than any stream lasts. A version that joins a service with an established one is
 * pending for {@link #PENDING_MS}: a copy of the store that is younger than that contains each version that has begun a
 * stream. While streams can be resumed, the counts of status reports are renewed, so that the age of a copy can be
 * told. Confined to the event loop.
 */
final class ServedVersionRecorder {
    /** Time for which a version is pending, ms: longer than the age of a copy that the store comes back from. */
    static final long PENDING_MS = 20_000;
    /** Interval between records of the counts of status reports, ms; adds to the estimated age of a copy. */
    static final long REPORTS_INTERVAL_MS = 3_000;

    private final Scheduler scheduler;
    private final WritableTopic topic;
    private final EndpointTable endpoints;
    private final Knowledge knowledge;
    private final VersionEstablishment establishment;
    private final CopyAge copyAge;
    private final BooleanSupplier permitted;
    private final BooleanSupplier streamsResumable;
    private final StructuredLog log;
    /** What was last found or written in the store; null if it must be read again. */
    private Written confirmed;
    /** Pending versions in the store, and the time since which this node knows that they are recorded. */
    private final Map<ServiceVersion, Long> pendingSinceNanos = new HashMap<>();

    private boolean reportsWritten;
    private long reportsNanos;
    private boolean writing;

    /** What this node knows of the versions. */
    interface Knowledge {
        /** Processes what the store holds. */
        void read(ServedVersionRecords stored);

        /** Versions known to have served within the retention time. */
        Set<ServiceVersion> served();

        /** Whether all versions are known that streams which still last may have begun at. */
        boolean complete();

        /** Listed versions at which streams may have begun before this node saw their first entries. */
        Set<ServiceVersion> maybeUsedUnseen();

        /** Whether a young copy has shown lately that streams have begun only at the versions that it holds. */
        boolean provedByCopyLately();

        /** Whether the list has been followed for the retention time. */
        boolean followedLongEnough();
    }

    /**
     * What the records hold.
     *
     * @param listed listed versions, all of which are recorded
     * @param complete whether the records state that they are complete
     * @param epoch epoch of the store
     */
    private record Written(Set<ServiceVersion> listed, boolean complete, long epoch) {}

    /**
     * Creates the recorder of a node.
     *
     * @param permitted whether this node may write
     */
    ServedVersionRecorder(
            Scheduler scheduler,
            ServedVersionTable.Inputs inputs,
            Knowledge knowledge,
            VersionEstablishment establishment,
            CopyAge copyAge,
            BooleanSupplier permitted,
            StructuredLog log) {
        this.scheduler = scheduler;
        this.topic = inputs.topic();
        this.endpoints = inputs.endpoints();
        this.knowledge = knowledge;
        this.establishment = establishment;
        this.copyAge = copyAge;
        this.permitted = permitted;
        this.streamsResumable = inputs.streamsResumable();
        this.log = log;
    }

    /** Reads the store again before the next write: another node may write, or the store may have lost records. */
    void readAgain() {
        confirmed = null;
        pendingSinceNanos.clear();
    }

    /** Writes what the store lacks; called at intervals while this node is permitted to write. */
    void check() {
        Set<ServiceVersion> listed = endpoints.softwareVersions();
        if (writing || listed.isEmpty()) {
            return;
        }
        Set<ServiceVersion> due = longPending();
        if (!new Written(listed, knowledge.complete(), topic.epoch()).equals(confirmed)) {
            writing = true;
            topic.readNewest(result -> writeDifference(listed, result));
        } else if (!due.isEmpty()) {
            endPending(due);
        } else if (reportsDue()) {
            writing = true;
            topic.write(
                    ServedVersionRecords.encodeReports(copyAge.counts(topic.epoch())),
                    Set.of(),
                    acknowledged -> reportsWritten(acknowledged));
        }
    }

    private Set<ServiceVersion> longPending() {
        return pendingSinceNanos.entrySet().stream()
                .filter(e -> scheduler.nanoTime() - e.getValue() >= PENDING_MS * 1_000_000)
                .map(Map.Entry::getKey)
                .collect(Collectors.toSet());
    }

    private boolean reportsDue() {
        return knowledge.complete()
                && streamsResumable.getAsBoolean()
                && (!reportsWritten || scheduler.nanoTime() - reportsNanos >= REPORTS_INTERVAL_MS * 1_000_000);
    }

    private void reportsWritten(boolean acknowledged) {
        writing = false;
        reportsWritten = acknowledged;
        reportsNanos = scheduler.nanoTime();
    }

    private void endPending(Set<ServiceVersion> versions) {
        writing = true;
        logWrite(Set.of(), Set.of(), Set.of(), versions);
        topic.write(Map.of(), ServedVersionRecords.markKeys(versions), acknowledged -> {
            writing = false;
            if (acknowledged) {
                pendingSinceNanos.keySet().removeAll(versions);
                establishment.add(versions);
            }
        });
    }

    private void writeDifference(Set<ServiceVersion> listed, KeyedTopic.ReadResult result) {
        ServedVersionRecords stored = ServedVersionRecords.decode(result, log);
        if (stored != null) {
            knowledge.read(stored);
        }
        if (stored == null || !permitted.getAsBoolean()) {
            writing = false;
            return;
        }
        Set<ServiceVersion> missing = difference(knowledge.served(), stored.versions());
        Set<ServiceVersion> obsolete = difference(stored.versions(), listed);
        if (!obsolete.isEmpty() && !knowledge.followedLongEnough()) {
            obsolete = Set.of();
            scheduler.schedule(Duration.ofMillis(EndpointTable.RETENTION_MS), () -> confirmed = null);
        }
        Written next = new Written(listed, knowledge.complete(), topic.epoch());
        Set<ServiceVersion> pending = next.complete ? joining(missing, listed) : Set.of();
        // Streams may have begun at a version that a restore has removed from the records.
        boolean neverRecorded = stored.completeEpoch() == next.epoch || knowledge.provedByCopyLately();
        Set<ServiceVersion> unused = neverRecorded ? difference(pending, knowledge.maybeUsedUnseen()) : Set.of();
        Set<ServiceVersion> unmarked = outdatedMarks(stored, obsolete, next.epoch);
        boolean states = next.complete && stored.completeEpoch() != next.epoch;
        Runnable onWritten = () -> written(next, difference(missing, pending), pending);
        followPending(stored, next.epoch);
        if (missing.isEmpty() && obsolete.isEmpty() && unmarked.isEmpty() && !states) {
            writing = false;
            onWritten.run();
            return;
        }
        logWrite(missing, obsolete, pending, unmarked);
        Map<String, byte[]> values = new HashMap<>(ServedVersionRecords.encode(missing));
        values.putAll(ServedVersionRecords.encodePending(pending, unused, next.epoch));
        if (states) {
            values.putAll(ServedVersionRecords.encodeStatement(next.epoch));
        }
        Set<String> removed = new HashSet<>(ServedVersionRecords.keys(obsolete));
        removed.addAll(ServedVersionRecords.markKeys(unmarked));
        topic.write(values, removed, acknowledged -> {
            writing = false;
            confirmed = null;
            if (acknowledged) {
                onWritten.run();
            }
        });
    }

    private void written(Written state, Set<ServiceVersion> established, Set<ServiceVersion> pending) {
        confirmed = state;
        pending.forEach(v -> pendingSinceNanos.put(v, scheduler.nanoTime()));
        establishment.add(established);
    }

    /** The versions among those that are not recorded yet whose services have an established version in use. */
    private Set<ServiceVersion> joining(Set<ServiceVersion> missing, Set<ServiceVersion> listed) {
        Set<String> services = endpoints.ready().stream()
                .map(VersionEstablishment::version)
                .filter(establishment::contains)
                .map(ServiceVersion::service)
                .collect(Collectors.toSet());
        return missing.stream()
                .filter(v -> listed.contains(v) && !establishment.contains(v) && services.contains(v.service()))
                .collect(Collectors.toSet());
    }

    /** Marked versions at which streams may have begun since, or that are gone. */
    private Set<ServiceVersion> outdatedMarks(ServedVersionRecords stored, Set<ServiceVersion> obsolete, long epoch) {
        return stored.pendingEpochs().keySet().stream()
                .filter(v -> !stored.isPending(v, epoch) || establishment.contains(v) || obsolete.contains(v))
                .collect(Collectors.toSet());
    }

    /** Counts the time of pending versions that another node has recorded from now on. */
    private void followPending(ServedVersionRecords stored, long epoch) {
        Set<ServiceVersion> pending = stored.versions().stream()
                .filter(v -> stored.isPending(v, epoch))
                .collect(Collectors.toSet());
        pendingSinceNanos.keySet().retainAll(pending);
        pending.forEach(v -> pendingSinceNanos.putIfAbsent(v, scheduler.nanoTime()));
    }

    private void logWrite(
            Set<ServiceVersion> added,
            Set<ServiceVersion> removed,
            Set<ServiceVersion> pending,
            Set<ServiceVersion> unmarked) {
        log.log(
                EventCode.SERVED_VERSIONS,
                "store",
                "added",
                added,
                "removed",
                removed,
                "pending",
                pending,
                "no_longer_pending",
                unmarked,
                "complete",
                knowledge.complete(),
                "epoch",
                topic.epoch());
    }

    private static Set<ServiceVersion> difference(Set<ServiceVersion> all, Set<ServiceVersion> without) {
        Set<ServiceVersion> rest = new HashSet<>(all);
        rest.removeAll(without);
        return rest;
    }
}
