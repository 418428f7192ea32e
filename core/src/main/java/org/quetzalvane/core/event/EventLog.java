package org.quetzalvane.core.event;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;

/**
 * Bounded buffer of the most recent events of a node; the oldest event is dropped when the buffer is full.
 *
 * <p>Thread-safe. Its lock is a leaf: no other lock is taken while it is held, so events may be recorded under any
 * lock. The listener is called without this lock, but possibly under locks of the recording code: it must neither block
 * nor take a lock of the node.
 */
public final class EventLog {
    private final String node;
    private final HybridClock clock;
    private final int capacity;
    private final Consumer<Event> listener;
    private final Deque<Event> events = new ArrayDeque<>();

    /** Creates a buffer that passes each event to {@code listener} after storing it. */
    public EventLog(String node, HybridClock clock, int capacity, Consumer<Event> listener) {
        this.node = node;
        this.clock = clock;
        this.capacity = capacity;
        this.listener = listener;
    }

    /** Records an event at the current time. */
    public void record(EventCode code, String subject, String detail) {
        Event e = new Event(clock.next(), node, code, subject, detail);
        synchronized (events) {
            if (events.size() == capacity) {
                events.removeFirst();
            }
            events.addLast(e);
        }
        listener.accept(e);
    }

    /** The stored events, oldest first; only those of the subject unless it is null. */
    public List<Event> events(String subject) {
        synchronized (events) {
            List<Event> found = new ArrayList<>();
            for (Event e : events) {
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
