package org.quetzalvane.core.store;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import org.quetzalvane.core.event.EventCode;
import org.quetzalvane.core.event.StructuredLog;
import org.quetzalvane.core.time.Scheduler;

/**
 * Keeps the newest record of each key of a topic, and hands every newer one on.
 *
 * <p>Invariant: per key, offsets only rise, whatever the store or a peer shows. What was known is kept while the
 * store is away. Confined to the event loop.
 */
public final class RecordFollower {
    /** Pause after a failed call, ms: short against the 2 s in which a configuration must be in force. */
    private static final long RETRY_MS = 250;

    private final Scheduler scheduler;
    private final KeyedTopic topic;
    private final StructuredLog log;
    private final long waitMs;
    private final long spacingMs;
    private final Consumer<StoreRecord> listener;
    private final Map<String, StoreRecord> newest = new HashMap<>();
    private long offset = -1;
    private boolean loaded;
    private boolean reachable = true;
    private long lastOkNanos;

    /**
     * Builds a follower.
     *
     * @param waitMs how long one read waits for a record, milliseconds
     * @param spacingMs pause between reads, milliseconds
     * @param listener takes each record that is newer than what was known of its key
     */
    public RecordFollower(
            Scheduler scheduler,
            KeyedTopic topic,
            StructuredLog log,
            long waitMs,
            long spacingMs,
            Consumer<StoreRecord> listener) {
        this.scheduler = scheduler;
        this.topic = topic;
        this.log = log;
        this.waitMs = waitMs;
        this.spacingMs = spacingMs;
        this.listener = listener;
    }

    public void start() {
        readNewest();
    }

    /** Whether all keys are known, from the store or from a peer. */
    public boolean loaded() {
        return loaded;
    }

    /** The newest record of each key, dropped ones included, to help a peer that cannot reach the store. */
    public Collection<StoreRecord> records() {
        return List.copyOf(newest.values());
    }

    /** Takes what a peer knows of all keys. */
    public void applyFromPeer(Collection<StoreRecord> records) {
        records.forEach(this::take);
        loaded = loaded || !records.isEmpty();
    }

    /** Time since the store last answered, milliseconds. */
    public long msSinceLastResponse() {
        return (scheduler.nanoTime() - lastOkNanos) / 1_000_000;
    }

    private void readNewest() {
        topic.readLatest(page -> {
            if (page.outcome() != KeyedTopic.Outcome.OK) {
                failed(page.cause(), this::readNewest);
                return;
            }
            answered();
            page.records().forEach(this::take);
            if (page.endOffset() >= offset) {
                dropAbsent(page);
                offset = page.endOffset();
            }
            loaded = true;
            read();
        });
    }

    private void dropAbsent(KeyedTopic.Page page) {
        Set<String> present = new HashSet<>();
        page.records().forEach(r -> present.add(r.key()));
        for (StoreRecord r : List.copyOf(newest.values())) {
            if (r.value() != null && !present.contains(r.key()) && r.offset() < page.endOffset()) {
                take(new StoreRecord(r.key(), null, page.endOffset()));
            }
        }
    }

    private void read() {
        topic.read(offset, waitMs, page -> {
            switch (page.outcome()) {
                case EXPIRED -> readNewest();
                case FAILED -> failed(page.cause(), this::read);
                default -> {
                    answered();
                    page.records().forEach(this::take);
                    offset = Math.max(offset, page.endOffset());
                    scheduler.schedule(Duration.ofMillis(page.records().isEmpty() ? 0 : spacingMs), this::read);
                }
            }
        });
    }

    private void take(StoreRecord r) {
        StoreRecord known = newest.get(r.key());
        if (known == null || known.offset() < r.offset()) {
            newest.put(r.key(), r);
            tell(r);
        }
    }

    /** A listener that fails on one record must not end the following of all others. */
    private void tell(StoreRecord r) {
        try {
            listener.accept(r);
        } catch (RuntimeException e) {
            log.log(EventCode.TASK_FAILED, topic.name(), "key", r.key(), "offset", r.offset(), "cause", e);
        }
    }

    private void failed(String cause, Runnable again) {
        if (reachable) {
            reachable = false;
            log.log(EventCode.STORE_LOST, topic.name(), "cause", cause);
        }
        scheduler.schedule(Duration.ofMillis(RETRY_MS), again);
    }

    private void answered() {
        lastOkNanos = scheduler.nanoTime();
        if (!reachable) {
            reachable = true;
            log.log(EventCode.STORE_BACK, topic.name(), "offset", offset);
        }
    }
}
