package org.quetzalvane.core.store;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import org.quetzalvane.core.time.Scheduler;

/**
 * Reads the newest records of a topic for several waiting tasks at once: at most one read is in progress, and each task
 * runs once, after the read or after a timeout. Confined to the event loop.
 */
public final class SharedRead {
    private final Scheduler scheduler;
    private final KeyedTopic topic;
    private final Duration timeout;
    private final Consumer<KeyedTopic.ReadResult> received;
    private final List<Runnable> waiting = new ArrayList<>();
    private boolean reading;

    /**
     * Creates a reader that has read nothing.
     *
     * @param timeout longest wait of a task; a later result is still processed
     * @param received processes the result of each read, before the tasks that wait for it
     */
    public SharedRead(
            Scheduler scheduler, KeyedTopic topic, Duration timeout, Consumer<KeyedTopic.ReadResult> received) {
        this.scheduler = scheduler;
        this.topic = topic;
        this.timeout = timeout;
        this.received = received;
    }

    /** Runs a task after a read, possibly before this method returns. */
    public void then(Runnable task) {
        waiting.add(task);
        scheduler.schedule(timeout, () -> {
            if (waiting.remove(task)) {
                task.run();
            }
        });
        if (!reading) {
            reading = true;
            topic.readNewest(this::complete);
        }
    }

    private void complete(KeyedTopic.ReadResult result) {
        reading = false;
        received.accept(result);
        List<Runnable> tasks = List.copyOf(waiting);
        waiting.clear();
        tasks.forEach(Runnable::run);
    }
}
