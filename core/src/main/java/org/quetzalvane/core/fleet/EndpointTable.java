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
 * afterwards; within one life it never becomes ready again by itself, except that an entry that lapsed comes back when
 * its endpoint writes it anew. Confined to the event loop.
 */
public final class EndpointTable {
    /** A leaving endpoint may still be sent to this long, ms: half of the platform's usual drain bound of 2 s. */
    public static final long LAST_RESORT_MS = 1_000;

    /** A removed endpoint is remembered this long, ns, so that an entry read late does not bring it back. */
    private static final long FORGET_NANOS = 60_000_000_000L;

    private static final long NOT_LEAVING = Long.MIN_VALUE;

    private final Scheduler scheduler;
    private final Map<String, Slot> slots = new HashMap<>();
    private final List<Consumer<Endpoint>> newLifeListeners = new ArrayList<>();

    public EndpointTable(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    /** Calls the listener when an endpoint appears or starts a new life. */
    public void onNewInstance(Consumer<Endpoint> listener) {
        newLifeListeners.add(listener);
    }

    /** Takes an endpoint's newest entry. */
    public void apply(Endpoint e) {
        Slot s = slots.get(e.id());
        boolean newLife = s == null || !s.endpoint.sameInstance(e);
        if (s != null && !newLife && !s.endpoint.ready() && e.ready()) {
            return;
        }
        long leavingSince = s == null || newLife ? NOT_LEAVING : s.leavingSince;
        if (!e.ready() && leavingSince == NOT_LEAVING) {
            leavingSince = scheduler.nanoTime();
        }
        slots.put(e.id(), new Slot(e, e.ready() ? NOT_LEAVING : leavingSince));
        if (newLife) {
            newLifeListeners.forEach(l -> l.accept(e));
        }
    }

    /** Takes note that an endpoint's entry was removed. */
    public void remove(String id) {
        Slot s = slots.get(id);
        if (s != null && s.leavingSince == NOT_LEAVING) {
            slots.put(id, new Slot(s.endpoint, scheduler.nanoTime()));
        }
    }

    /** Takes a whole listing: endpoints that it lacks are removed. */
    public void retainOnly(Set<String> ids) {
        for (String id : List.copyOf(slots.keySet())) {
            if (!ids.contains(id)) {
                remove(id);
            }
        }
    }

    /** The endpoint with this id that may still be sent to, or null. */
    public Endpoint find(String id) {
        Slot s = slots.get(id);
        return s == null || expired(s) ? null : s.endpoint;
    }

    /** Endpoints of a service that take new work; leaving ones only where no other is left. */
    public List<Endpoint> usable(String service) {
        List<Endpoint> ready = new ArrayList<>();
        List<Endpoint> leaving = new ArrayList<>();
        for (Iterator<Slot> i = slots.values().iterator(); i.hasNext(); ) {
            Slot s = i.next();
            if (expired(s)) {
                if (scheduler.nanoTime() - s.leavingSince > FORGET_NANOS) {
                    i.remove();
                }
            } else if (Objects.equals(s.endpoint.service(), service)) {
                (s.leavingSince == NOT_LEAVING ? ready : leaving).add(s.endpoint);
            }
        }
        return ready.isEmpty() ? leaving : ready;
    }

    /** Every endpoint whose entry says that it is ready. */
    public List<Endpoint> ready() {
        return slots.values().stream()
                .filter(s -> s.leavingSince == NOT_LEAVING)
                .map(s -> s.endpoint)
                .toList();
    }

    private boolean expired(Slot s) {
        return s.leavingSince != NOT_LEAVING && scheduler.nanoTime() - s.leavingSince > LAST_RESORT_MS * 1_000_000;
    }

    private record Slot(Endpoint endpoint, long leavingSince) {}
}
