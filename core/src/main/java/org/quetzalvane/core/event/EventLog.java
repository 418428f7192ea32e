package org.quetzalvane.core.event;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;

/**
 * Bounded ring of the node's events; the oldest is dropped when it is full.
 *
 * <p>Thread-safe. Its lock is a leaf: no other lock is taken while it is held, so events may be recorded anywhere.
 */
public final class EventLog {
    private final String node;
    private final HybridClock clock;
    private final int capacity;
    private final Consumer<Event> listener;
    private final Deque<Event> ring = new ArrayDeque<>();

    /** Builds a ring that hands each event to {@code listener}, which must not block, after storing it. */
    public EventLog(String node, HybridClock clock, int capacity, Consumer<Event> listener) {
        this.node = node;
        this.clock = clock;
        this.capacity = capacity;
        this.listener = listener;
    }

    /** Records an event now. */
    public void record(EventCode code, String subject, String detail) {
        Event e = new Event(clock.next(), node, code, subject, detail);
        synchronized (ring) {
            if (ring.size() == capacity) {
                ring.removeFirst();
            }
            ring.addLast(e);
        }
        listener.accept(e);
    }

    /** The events kept, oldest first, restricted to a subject unless it is null. */
    public List<Event> events(String subject) {
        synchronized (ring) {
            List<Event> found = new ArrayList<>();
            for (Event e : ring) {
                if (subject == null || e.subject().equals(subject)) {
                    found.add(e);
                }
            }
            return found;
        }
    }

    public HybridClock clock() {
        return clock;
    }
}
