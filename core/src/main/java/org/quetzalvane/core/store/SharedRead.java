package org.quetzalvane.core.store;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import org.quetzalvane.core.time.Scheduler;

/**
 * Reads the newest records of a topic for several waiting tasks at once: at most one read is in progress that is
 * younger than the timeout, and each task runs once, after a read that began later than it was added, or after the
 * timeout. Confined to the event loop.
 */
public final class SharedRead {
    private final Scheduler scheduler;
    private final KeyedTopic topic;
    private final Duration timeout;
    private final Consumer<KeyedTopic.ReadResult> received;
    /** Tasks that wait for the next read. */
    private List<Task> waiting = new ArrayList<>();

    /** Whether the last read is in progress and not overdue. */
    private boolean reading;

    private long lastRead;

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

    /** A task that runs once. */
    private static final class Task {
        private final Consumer<Boolean> action;
        private boolean done;

        Task(Consumer<Boolean> action) {
            this.action = action;
        }

        void run(boolean read) {
            if (!done) {
                done = true;
                action.accept(read);
            }
        }
    }

    /**
     * Runs a task after a read, possibly before this method returns.
     *
     * @param action receives whether the records were read, all those included that were written before this call
     */
    public void then(Consumer<Boolean> action) {
        Task task = new Task(action);
        waiting.add(task);
        scheduler.schedule(timeout, () -> {
            waiting.remove(task);
            task.run(false);
        });
        if (!reading) {
            read();
        }
    }

    private void read() {
        List<Task> tasks = waiting;
        waiting = new ArrayList<>();
        reading = true;
        long number = ++lastRead;
        CallChain.sendWatched(
                scheduler,
                topic::readNewest,
                timeout.toMillis(),
                () -> end(number),
                result -> complete(number, result, tasks));
    }

    private void complete(long number, KeyedTopic.ReadResult result, List<Task> tasks) {
        if (number == lastRead) {
            reading = false;
        }
        received.accept(result);
        boolean read = result.outcome() == KeyedTopic.Outcome.OK;
        tasks.forEach(t -> t.run(read));
        readForWaiting();
    }

    /** Ends a read whose tasks have timed out, so that those that wait for the next one do not wait for it as well. */
    private void end(long number) {
        if (number == lastRead) {
            reading = false;
            readForWaiting();
        }
    }

    private void readForWaiting() {
        if (!reading && !waiting.isEmpty()) {
            read();
        }
    }
}
