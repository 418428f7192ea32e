package org.quetzalvane.core.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Consumer;

import org.quetzalvane.core.time.Scheduler;

/**
 * Endpoints that requests may be sent to.
 *
 * <p>An endpoint that drains or whose entry was removed is a last resort for {@link #LAST_RESORT_MS} and unusable
 * afterwards. Within one instance, a draining endpoint never becomes ready again; an endpoint whose entry expired does
 * when the endpoint writes its entry again. Confined to the event loop.
 */
public final class EndpointTable {
    /**
     * Time for which requests may still be sent to a leaving endpoint, ms: half of the platform's usual drain limit of
     * 2 s.
     */
    public static final long LAST_RESORT_MS = 1_000;

    /** Time for which a leaving endpoint is kept, ns, so that a late ready entry does not restore a drained one. */
    private static final long RETENTION_NANOS = 60_000_000_000L;

    private static final long NOT_LEAVING = Long.MIN_VALUE;

    private final Scheduler scheduler;
    private final Map<String, Entry> entries = new HashMap<>();
    private final List<Consumer<Endpoint>> newInstanceListeners = new ArrayList<>();

    public EndpointTable(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    /** Registers a listener for endpoints that appear or start a new instance. */
    public void onNewInstance(Consumer<Endpoint> listener) {
        newInstanceListeners.add(listener);
    }

    /** Applies the newest entry of an endpoint. */
    public void apply(Endpoint e) {
        Entry entry = entries.get(e.id());
        boolean newInstance = entry == null || !entry.endpoint.sameInstance(e);
        if (entry != null && !newInstance && !entry.endpoint.ready() && e.ready()) {
            return;
        }
        long leavingSinceNanos = entry == null || newInstance ? NOT_LEAVING : entry.leavingSinceNanos;
        if (!e.ready() && leavingSinceNanos == NOT_LEAVING) {
            leavingSinceNanos = scheduler.nanoTime();
        }
        entries.put(e.id(), new Entry(e, e.ready() ? NOT_LEAVING : leavingSinceNanos));
        if (newInstance) {
            newInstanceListeners.forEach(l -> l.accept(e));
        }
    }

    /** Records that the entry of an endpoint was removed. */
    public void remove(String id) {
        Entry entry = entries.get(id);
        if (entry != null && entry.leavingSinceNanos == NOT_LEAVING) {
            entries.put(id, new Entry(entry.endpoint, scheduler.nanoTime()));
        }
    }

    /** Applies a complete listing: endpoints that it lacks are removed. */
    public void retainOnly(Set<String> ids) {
        for (String id : List.copyOf(entries.keySet())) {
            if (!ids.contains(id)) {
                remove(id);
            }
        }
    }

    /** The endpoint with this id if requests may still be sent to it, otherwise null. */
    public Endpoint find(String id) {
        Entry entry = entries.get(id);
        return entry == null || expired(entry) ? null : entry.endpoint;
    }

    /** Endpoints of a service that accept new requests, or the leaving ones if there are no others. */
    public List<Endpoint> usable(String service) {
        List<Endpoint> ready = new ArrayList<>();
        List<Endpoint> leaving = new ArrayList<>();
        for (Iterator<Entry> i = entries.values().iterator(); i.hasNext(); ) {
            Entry entry = i.next();
            if (expired(entry)) {
                if (scheduler.nanoTime() - entry.leavingSinceNanos > RETENTION_NANOS) {
                    i.remove();
                }
            } else if (Objects.equals(entry.endpoint.service(), service)) {
                (entry.leavingSinceNanos == NOT_LEAVING ? ready : leaving).add(entry.endpoint);
            }
        }
        return ready.isEmpty() ? leaving : ready;
    }

    /** All endpoints that are not leaving. */
    public List<Endpoint> ready() {
        return entries.values().stream()
                .filter(entry -> entry.leavingSinceNanos == NOT_LEAVING)
                .map(entry -> entry.endpoint)
                .toList();
    }

    private boolean expired(Entry entry) {
        return entry.leavingSinceNanos != NOT_LEAVING
                && scheduler.nanoTime() - entry.leavingSinceNanos > LAST_RESORT_MS * 1_000_000;
    }

    private record Entry(Endpoint endpoint, long leavingSinceNanos) {}
}
