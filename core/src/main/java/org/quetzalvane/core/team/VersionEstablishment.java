package org.quetzalvane.core.team;

import java.time.Duration;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import org.quetzalvane.core.fleet.Endpoint;
import org.quetzalvane.core.fleet.EndpointTable;
import org.quetzalvane.core.fleet.ServiceVersion;
import org.quetzalvane.core.store.WritableTopic;
import org.quetzalvane.core.time.Scheduler;

/**
 * The software versions at which streams may begin, as far as this node knows.
 *
 * <p>A version is established once the records name it without a mark. One that is needed before that is established by
 * the node that needs it: it removes the mark, so that other nodes learn that streams may have begun there. If the
 * store does not acknowledge that, streams begin there all the same, and the node tries again; meanwhile only its peers
 * know the origins of these streams. Confined to the event loop.
 */
final class VersionEstablishment {
    /** Interval at which a removal of marks that was not acknowledged is tried again, ms. */
    static final long RETRY_INTERVAL_MS = 500;

    private final Scheduler scheduler;
    private final WritableTopic topic;
    private final EndpointTable endpoints;
    private final Supplier<ServedVersionRecords> records;
    private final Set<ServiceVersion> established = new HashSet<>();
    /** Versions whose marks may still be in the store although streams may have begun there. */
    private final Set<ServiceVersion> unacknowledged = new HashSet<>();
    /** Listed versions when the list was last checked. */
    private Set<ServiceVersion> listedBefore = Set.of();

    private boolean writing;

    /**
     * Creates the state of a node that has read nothing.
     *
     * @param records the records as they were last read
     */
    VersionEstablishment(
            Scheduler scheduler, WritableTopic topic, EndpointTable endpoints, Supplier<ServedVersionRecords> records) {
        this.scheduler = scheduler;
        this.topic = topic;
        this.endpoints = endpoints;
        this.records = records;
    }

    /** Established versions, also those that have left lately. */
    Set<ServiceVersion> versions() {
        return established;
    }

    boolean contains(ServiceVersion v) {
        return established.contains(v);
    }

    /** Processes that versions are recorded without marks. */
    void add(Set<ServiceVersion> versions) {
        established.addAll(versions);
    }

    /** Processes the records as they were read. */
    void read(ServedVersionRecords read) {
        read.versions().stream().filter(v -> !read.isPending(v, topic.epoch())).forEach(established::add);
    }

    /** Forgets the versions that are listed no more: they are recorded anew if they join again. */
    void listed(Set<ServiceVersion> listed) {
        listedBefore.stream().filter(v -> !listed.contains(v)).forEach(v -> {
            established.remove(v);
            unacknowledged.remove(v);
        });
        listedBefore = listed;
    }

    /** Establishes the listed versions of a service; has no effect before a node has recorded anything. */
    void establish(String service) {
        Set<ServiceVersion> joining = endpoints.ready().stream()
                .map(VersionEstablishment::version)
                .filter(v -> v.service().equals(service) && !established.contains(v))
                .collect(Collectors.toSet());
        if (!records.get().isEmpty() && !joining.isEmpty()) {
            unacknowledged.addAll(joining);
            write();
        }
    }

    static ServiceVersion version(Endpoint e) {
        return new ServiceVersion(e.service(), e.softwareVersion());
    }

    private void write() {
        if (writing || unacknowledged.isEmpty()) {
            return;
        }
        writing = true;
        Set<ServiceVersion> versions = Set.copyOf(unacknowledged);
        Map<String, byte[]> values = ServedVersionRecords.encode(versions);
        topic.write(values, ServedVersionRecords.markKeys(versions), acknowledged -> {
            writing = false;
            established.addAll(versions);
            if (acknowledged) {
                unacknowledged.removeAll(versions);
            }
            if (!unacknowledged.isEmpty()) {
                scheduler.schedule(Duration.ofMillis(RETRY_INTERVAL_MS), this::write);
            }
        });
    }
}
