package org.quetzalvane.core.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import org.quetzalvane.core.time.Scheduler;

/**
 * Endpoints that requests may be sent to.
 *
 * <p>The platform's list may state an earlier run of an endpoint than is known, when it has come back from a copy. Such
 * an entry is held back until its instance writes another one, or the known instance has not done so for {@link
 * #HOLD_BACK_MS}: the clock of an endpoint may have been set back between two starts.
 *
 * <p>A leaving endpoint, one that drains or whose entry was removed from the platform's list, is used only if no other
 * is ready, for {@link #LAST_RESORT_MS}. A new entry makes an endpoint ready again unless the same instance has
 * drained. Confined to the event loop.
 */
public final class EndpointTable {
    /**
     * Time for which requests may still be sent to a leaving endpoint, ms: half of the platform's usual drain limit of
     * 2 s.
     */
    public static final long LAST_RESORT_MS = 1_000;

    /**
     * Time for which a leaving endpoint is kept, ms, so that a ready entry that arrives late does not restore a drained
     * one, and its software version stays known for longer than any stream lasts.
     */
    public static final long RETENTION_MS = 60_000;

    /**
     * Time for which an entry that states an earlier start than the known one is held back, ms: endpoints write their
     * entries again within about 2 s of a restore.
     */
    public static final long HOLD_BACK_MS = 2_500;

    private static final long RETENTION_NANOS = RETENTION_MS * 1_000_000;

    /** Largest number of marks kept: several times the endpoints of a deployment. */
    private static final int MAX_LEAVING_MARKS = 1_000;

    /** Largest number of versions of replaced instances kept: several times the versions of a deployment. */
    private static final int MAX_REPLACED_VERSIONS = 1_000;

    private static final long NOT_LEAVING = Long.MIN_VALUE;

    private final Scheduler scheduler;
    private final EndpointBackoff backoff;
    private final Map<String, TrackedEndpoint> tracked = new HashMap<>();
    /** Instances that said that they leave, by endpoint; kept also while their entries are unknown. */
    private final Map<String, LeavingMark> leavingMarks = new HashMap<>();

    /** Entries that are held back, by endpoint. */
    private final Map<String, HeldBack> heldBack = new HashMap<>();
    /** Versions of instances that another one has replaced under their ids, and the time of the last replacement. */
    private final Map<ServiceVersion, Long> replacedVersions = new HashMap<>();

    /** Versions that came by replacing an instance of another version under its id, and the time of the last one. */
    private final Map<ServiceVersion, Long> upgradedVersions = new HashMap<>();

    private final List<Consumer<Endpoint>> newInstanceListeners = new ArrayList<>();

    public EndpointTable(Scheduler scheduler) {
        this.scheduler = scheduler;
        this.backoff = new EndpointBackoff(scheduler);
    }

    /** Registers a listener for endpoints that appear or start a new instance. */
    public void onNewInstance(Consumer<Endpoint> listener) {
        newInstanceListeners.add(listener);
    }

    /**
     * Applies the newest entry of an endpoint; a ready entry of an instance that has drained, or said that it leaves,
     * does not make it ready.
     *
     * @return false if the entry is held back
     */
    public boolean apply(Endpoint entry) {
        TrackedEndpoint known = tracked.get(entry.id());
        HeldBack before = heldBack.remove(entry.id());
        boolean earlier = known != null && entry.bornMs() < known.endpoint.bornMs();
        if (earlier && (before == null || !before.entry.sameInstance(entry))) {
            holdBack(new HeldBack(entry, scheduler.nanoTime()));
            return false;
        }
        applyNow(entry);
        return true;
    }

    private void holdBack(HeldBack held) {
        String id = held.entry.id();
        heldBack.put(id, held);
        scheduler.schedule(Duration.ofMillis(HOLD_BACK_MS), () -> {
            if (heldBack.remove(id, held)) {
                applyNow(held.entry);
            }
        });
    }

    private void applyNow(Endpoint entry) {
        LeavingMark mark = leavingMarks.get(entry.id());
        boolean leaves = mark != null && mark.bornMs == entry.bornMs() && !hasExpired(mark);
        Endpoint e = leaves ? entry.withState(Endpoint.State.DRAINING) : entry;
        TrackedEndpoint known = tracked.get(e.id());
        boolean newInstance = known == null || !known.endpoint.sameInstance(e);
        if (known != null && !newInstance && !known.endpoint.ready() && e.ready()) {
            return;
        }
        long leavingSinceNanos = known == null || newInstance ? NOT_LEAVING : known.leavingSinceNanos;
        if (!e.ready() && leavingSinceNanos == NOT_LEAVING) {
            leavingSinceNanos = scheduler.nanoTime();
        }
        tracked.put(e.id(), new TrackedEndpoint(e, e.ready() ? NOT_LEAVING : leavingSinceNanos));
        if (newInstance) {
            if (known != null) {
                keepVersion(replacedVersions, versionOf(known.endpoint));
                if (!versionOf(known.endpoint).equals(versionOf(e))) {
                    keepVersion(upgradedVersions, versionOf(e));
                }
            }
            newInstanceListeners.forEach(l -> l.accept(e));
        }
    }

    /** Keeps a version as long as streams that began until now may last. */
    private void keepVersion(Map<ServiceVersion, Long> versions, ServiceVersion v) {
        versions.values().removeIf(this::isPastRetention);
        if (versions.size() < MAX_REPLACED_VERSIONS) {
            versions.put(v, scheduler.nanoTime());
        }
    }

    /**
     * Whether endpoints have started again under their ids with a software version within the retention time. Streams
     * may have begun at it before their entries stated it.
     */
    public boolean isUpgradedInPlace(ServiceVersion v) {
        Long since = upgradedVersions.get(v);
        return since != null && !isPastRetention(since);
    }

    private boolean isPastRetention(long sinceNanos) {
        return scheduler.nanoTime() - sinceNanos > RETENTION_NANOS;
    }

    private static ServiceVersion versionOf(Endpoint e) {
        return new ServiceVersion(e.service(), e.softwareVersion());
    }

    /**
     * Marks an instance as draining because it says so itself, before its entry does; returns whether this is news. The
     * mark of an instance that is not listed yet applies to its entry when that arrives.
     */
    public boolean markDraining(String id, long bornMs) {
        TrackedEndpoint known = tracked.get(id);
        LeavingMark mark = leavingMarks.get(id);
        boolean outdated = known != null
                && (bornMs < known.endpoint.bornMs() || bornMs == known.endpoint.bornMs() && !known.endpoint.ready());
        if (outdated || mark != null && bornMs <= mark.bornMs && !hasExpired(mark)) {
            return false;
        }
        leavingMarks.values().removeIf(this::hasExpired);
        if (leavingMarks.size() >= MAX_LEAVING_MARKS) {
            return false;
        }
        leavingMarks.put(id, new LeavingMark(bornMs, scheduler.nanoTime()));
        if (known != null && known.endpoint.bornMs() == bornMs) {
            apply(known.endpoint);
        }
        return true;
    }

    /** Start, in milliseconds since the epoch, of each instance that said lately that it leaves, by endpoint. */
    public Map<String, Long> leavingMarks() {
        leavingMarks.values().removeIf(this::hasExpired);
        return leavingMarks.entrySet().stream().collect(Collectors.toMap(Map.Entry::getKey, m -> m.getValue().bornMs));
    }

    private boolean hasExpired(LeavingMark mark) {
        return isPastRetention(mark.atNanos);
    }

    /** Sends nothing to an endpoint for the given time, ms, as it has asked. */
    public void backOff(Endpoint e, long ms) {
        backoff.add(e, ms);
    }

    /** Time left for which an endpoint wants nothing, ms; 0 if it takes requests. */
    public long backoffMs(Endpoint e) {
        return backoff.remainingMs(e);
    }

    /** Marks an endpoint as leaving because its entry was removed from the list. */
    public void entryRemoved(String id) {
        heldBack.remove(id);
        TrackedEndpoint known = tracked.get(id);
        if (known != null && known.leavingSinceNanos == NOT_LEAVING) {
            tracked.put(id, new TrackedEndpoint(known.endpoint, scheduler.nanoTime()));
        }
    }

    /** Applies a complete listing: marks all endpoints that it lacks as leaving. */
    public void applyListing(Set<String> ids) {
        for (String id : List.copyOf(tracked.keySet())) {
            if (!ids.contains(id)) {
                entryRemoved(id);
            }
        }
    }

    /** The endpoint with this id if requests may still be sent to it, otherwise null. */
    public Endpoint find(String id) {
        TrackedEndpoint known = tracked.get(id);
        return known == null || lastResortOver(known) ? null : known.endpoint;
    }

    /**
     * Endpoints of a service that requests may be sent to: those that accept new ones, or the leaving ones if there are
     * no others; without those that asked to be sent nothing for now.
     *
     * @param softwareVersion version that the endpoints must have, or null for any
     */
    public List<Endpoint> usable(String service, String softwareVersion) {
        return candidates(service, softwareVersion).stream()
                .filter(e -> backoffMs(e) == 0)
                .toList();
    }

    /**
     * Time after which the first endpoint takes requests again, ms, if all that could serve asked to be sent nothing
     * for now; otherwise 0.
     *
     * @param softwareVersion version that the endpoints must have, or null for any
     */
    public long backoffMs(String service, String softwareVersion) {
        return backoff.shortestMs(candidates(service, softwareVersion));
    }

    private List<Endpoint> candidates(String service, String softwareVersion) {
        List<Endpoint> ready = new ArrayList<>();
        List<Endpoint> leaving = new ArrayList<>();
        for (Iterator<TrackedEndpoint> i = tracked.values().iterator(); i.hasNext(); ) {
            TrackedEndpoint known = i.next();
            if (lastResortOver(known)) {
                if (isPastRetention(known.leavingSinceNanos)) {
                    i.remove();
                }
            } else if (Objects.equals(known.endpoint.service(), service)
                    && (softwareVersion == null || softwareVersion.equals(known.endpoint.softwareVersion()))) {
                (known.leavingSinceNanos == NOT_LEAVING ? ready : leaving).add(known.endpoint);
            }
        }
        return ready.isEmpty() ? leaving : ready;
    }

    /** Software versions of the endpoints of a service, including those that left or were replaced lately. */
    public Set<String> softwareVersions(String service) {
        return softwareVersions().stream()
                .filter(v -> v.service().equals(service))
                .map(ServiceVersion::softwareVersion)
                .collect(Collectors.toSet());
    }

    /**
     * Software versions of the endpoints of all services, including those that left, or started again with another
     * version, within the retention time.
     */
    public Set<ServiceVersion> softwareVersions() {
        Set<ServiceVersion> versions = tracked.values().stream()
                .map(known -> versionOf(known.endpoint))
                .collect(Collectors.toSet());
        replacedVersions.forEach((version, sinceNanos) -> {
            if (!isPastRetention(sinceNanos)) {
                versions.add(version);
            }
        });
        return versions;
    }

    /** All endpoints that are not leaving. */
    public List<Endpoint> ready() {
        return tracked.values().stream()
                .filter(known -> known.leavingSinceNanos == NOT_LEAVING)
                .map(known -> known.endpoint)
                .toList();
    }

    /** Whether the endpoint has been leaving for more than {@link #LAST_RESORT_MS}. */
    private boolean lastResortOver(TrackedEndpoint known) {
        return known.leavingSinceNanos != NOT_LEAVING
                && scheduler.nanoTime() - known.leavingSinceNanos > LAST_RESORT_MS * 1_000_000;
    }

    /** An entry that is held back, and the time since which it is. */
    private record HeldBack(Endpoint entry, long sinceNanos) {}

    /** Start of the instance that said that it leaves, and the time at which this was heard. */
    private record LeavingMark(long bornMs, long atNanos) {}

    /** An endpoint and the time since which it is leaving, or {@link #NOT_LEAVING}. */
    private record TrackedEndpoint(Endpoint endpoint, long leavingSinceNanos) {}
}
