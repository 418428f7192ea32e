package org.quetzalvane.core.store;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import org.quetzalvane.core.event.EventCode;
import org.quetzalvane.core.event.StructuredLog;
import org.quetzalvane.core.time.Scheduler;
import org.quetzalvane.core.time.Stopwatch;

/**
 * Follows a topic: keeps the newest record of each key and passes each newer one to a listener.
 *
 * <p>Invariants: for each key, offsets only increase, whatever the store or a peer returns. Known records are kept
 * while the store cannot be reached. A read that is lost without an error delays a record by at most its wait and
 * {@link #OVERDUE_MS}: another read is then sent beside it, and the first response of either counts. The chain of calls
 * does not end, see {@link CallChain}. Confined to the event loop.
 */
public final class RecordFollower {
    /**
     * Delay before a failed call is retried, ms; short compared with the 2 s within which a configuration must be in
     * force.
     */
    private static final long RETRY_DELAY_MS = 250;
    /**
     * Time after the end of its wait at which an unanswered read counts as lost, ms: more than the response time of a
     * slow store.
     */
    private static final long OVERDUE_MS = 300;
    /**
     * Time after which a listing without a response is sent again, ms: longer than a call takes to fail and to be
     * retried, shorter than the 2 s within which a configuration must be in force.
     */
    private static final long LISTING_OVERDUE_MS = 1_500;
    /** Longest wait of a read that is sent because the one before is overdue, ms. */
    private static final long MAX_WAIT_WHILE_OVERDUE_MS = 250;
    /** Interval at which it is checked whether another node still passes the records on, ms. */
    private static final long RELAY_CHECK_INTERVAL_MS = 100;
    /**
     * Time after a restore of the store for which keys that it lacks are kept, ms: endpoints write their entries again
     * within about 2 s.
     */
    static final long REWRITE_MS = 2_500;
    /** Stated as the time since the last response of a store that has not answered yet, ms. */
    static final long NEVER_MS = 1L << 40;

    private final Scheduler scheduler;
    private final KeyedTopic topic;
    private final StructuredLog log;
    private final long waitMs;
    private final long readIntervalMs;
    private final Consumer<StoreRecord> listener;
    private final CallChain calls;
    private BooleanSupplier relayed = () -> false;
    private LongSupplier listingDelayMs = () -> 0;
    private Consumer<List<StoreRecord>> relay = records -> {};
    private Runnable batchListener = () -> {};
    private final Map<String, StoreRecord> newest = new HashMap<>();
    private long offset = -1;
    private long appliedOffset = -1;
    private long peerEndOffset;
    private boolean initialized;
    private boolean reachable = true;
    /** Runs since the last response of the store; null before the first. */
    private Stopwatch sinceResponse;

    private boolean overdue;

    /** Whether the store came back from a copy and what it lost may still be written again. */
    private boolean rewriting;

    private long restoredNanos;

    /**
     * Creates a follower.
     *
     * @param waitMs time that one read waits for a record, milliseconds
     * @param readIntervalMs delay after a read that returned records, milliseconds
     * @param listener receives each record that is newer than the known one of its key
     */
    public RecordFollower(
            Scheduler scheduler,
            KeyedTopic topic,
            StructuredLog log,
            long waitMs,
            long readIntervalMs,
            Consumer<StoreRecord> listener) {
        this.scheduler = scheduler;
        this.topic = topic;
        this.log = log;
        this.waitMs = waitMs;
        this.readIntervalMs = readIntervalMs;
        this.listener = listener;
        this.calls = new CallChain(scheduler);
    }

    /**
     * Sets the exchange of records with other nodes; the store is not read while another node passes its records on.
     *
     * @param passedOn whether another node passes on every record
     * @param restoreDelayMs delay of the listing of a restored store, ms, after which another node may pass it on
     * @param next receives the records that were newer than the known ones, after they were applied
     */
    public void exchange(BooleanSupplier passedOn, LongSupplier restoreDelayMs, Consumer<List<StoreRecord>> next) {
        relayed = passedOn;
        listingDelayMs = restoreDelayMs;
        relay = next;
    }

    /** Sets what runs after each batch of records that were newer than the known ones, before they are passed on. */
    public void onBatchApplied(Runnable task) {
        batchListener = task;
    }

    /** Starts reading: all newest records first, then each later one. */
    public void start() {
        readNewest();
    }

    /** Whether a listing of the store or a non-empty list of a peer was applied. */
    public boolean initialized() {
        return initialized;
    }

    /** The newest record of each key, including removed keys, for a peer that cannot reach the store. */
    public PeerRecords records() {
        // Keys that a restored store lacks may still be written again and do not count as removed.
        return new PeerRecords(List.copyOf(newest.values()), rewriting ? 0 : Math.max(offset, peerEndOffset));
    }

    /** Applies records that a peer knows, and the removals that follow from keys that it lacks. */
    public void applyFromPeer(PeerRecords known) {
        peerEndOffset = Math.max(peerEndOffset, known.endOffset());
        List<StoreRecord> changes = new ArrayList<>(known.records());
        changes.addAll(known.absentFrom(newest));
        applyAll(changes);
        initialized = initialized || !known.records().isEmpty();
    }

    /** Applies records that a peer has just applied; unlike a complete list, they do not initialize the state. */
    public void applyFromPeer(Collection<StoreRecord> records) {
        applyAll(records);
    }

    /** Applies a listing of the store that was read besides following the topic. */
    public void applyListing(KeyedTopic.ReadResult page) {
        if (page.outcome() == KeyedTopic.Outcome.OK) {
            applyAll(page.records());
        }
    }

    /** Whether the store has answered. */
    public boolean heard() {
        return sinceResponse != null;
    }

    /** Greatest offset of the records applied, or -1. */
    public long appliedOffset() {
        return appliedOffset;
    }

    /** Time since the last response of the store, milliseconds; {@link #NEVER_MS} before the first response. */
    public long msSinceLastResponse() {
        return sinceResponse == null ? NEVER_MS : sinceResponse.elapsedMs();
    }

    private void readNewest() {
        calls.send(new CallChain.Call(
                topic::readNewest,
                LISTING_OVERDUE_MS,
                this::readNewest,
                this::processListing,
                this::continueAfterListing));
    }

    private void continueAfterListing(KeyedTopic.ReadResult page) {
        switch (page.outcome()) {
            case OK -> read();
            case RESTORED -> onRestored();
            default -> scheduler.schedule(Duration.ofMillis(RETRY_DELAY_MS), this::readNewest);
        }
    }

    private void processListing(KeyedTopic.ReadResult page) {
        process(page);
        if (page.outcome() != KeyedTopic.Outcome.OK) {
            return;
        }
        if (page.endOffset() >= offset) {
            if (!rewriting) {
                removeAbsent(page);
            }
            offset = page.endOffset();
        }
        initialized = true;
    }

    private void process(KeyedTopic.ReadResult page) {
        if (page.outcome() == KeyedTopic.Outcome.OK) {
            onResponse();
            applyAll(page.records());
        } else if (page.outcome() == KeyedTopic.Outcome.FAILED) {
            onFailure(page.cause());
        }
    }

    /** Lists a store that came back from a copy, unless another node passes its records on after a delay. */
    private void onRestored(long delayMs) {
        if (delayMs == 0) {
            onRestored();
            return;
        }
        scheduler.schedule(Duration.ofMillis(delayMs), () -> {
            if (isRelayed()) {
                read();
            } else {
                onRestored();
            }
        });
    }

    /** Reads all records again, and once more when those that the store lost are written again. */
    private void onRestored() {
        restoredNanos = scheduler.nanoTime();
        if (!rewriting) {
            rewriting = true;
            scheduler.schedule(Duration.ofMillis(REWRITE_MS), this::endRewriting);
        }
        readNewest();
    }

    /** Removes the keys that a listing still lacks. */
    private void endRewriting() {
        long leftMs = REWRITE_MS - (scheduler.nanoTime() - restoredNanos) / 1_000_000;
        if (leftMs > 0) {
            scheduler.schedule(Duration.ofMillis(leftMs), this::endRewriting);
            return;
        }
        if (!rewriting) {
            return;
        }
        CallChain.sendWatched(scheduler, topic::readNewest, LISTING_OVERDUE_MS, this::endRewriting, page -> {
            if (page.outcome() == KeyedTopic.Outcome.OK) {
                rewriting = false;
                applyAll(page.records());
                removeAbsent(page);
            } else {
                scheduler.schedule(Duration.ofMillis(RETRY_DELAY_MS), this::endRewriting);
            }
        });
    }

    /** Marks keys that a newer listing lacks as removed. */
    private void removeAbsent(KeyedTopic.ReadResult page) {
        applyAll(new PeerRecords(page.records(), page.endOffset()).absentFrom(newest));
    }

    private void read() {
        // Scheduled before the decision, whose failure must not end the chain.
        Scheduler.Timer check = scheduler.schedule(Duration.ofMillis(RELAY_CHECK_INTERVAL_MS), this::read);
        if (isRelayed()) {
            return;
        }
        check.cancel();
        long readWaitMs = overdue ? Math.min(waitMs, MAX_WAIT_WHILE_OVERDUE_MS) : waitMs;
        calls.send(new CallChain.Call(
                done -> topic.read(offset, readWaitMs, done),
                readWaitMs + OVERDUE_MS,
                this::onOverdue,
                this::processRead,
                this::continueAfterRead));
    }

    private void processRead(KeyedTopic.ReadResult page) {
        process(page);
        offset = Math.max(offset, page.endOffset());
    }

    /** Sends another read, since this one may have been lost; its response is still processed. */
    private void onOverdue() {
        if (!overdue) {
            overdue = true;
            log.log(
                    EventCode.STORE_READ_OVERDUE,
                    topic.name(),
                    "sent_ms_ago",
                    calls.msSinceSent(),
                    "offset",
                    offset,
                    "age_ms",
                    msSinceLastResponse());
        }
        if (isRelayed()) {
            calls.settleAll();
        }
        read();
    }

    /** Whether another node passes the records on; this node reads them itself if that cannot be told. */
    private boolean isRelayed() {
        try {
            return relayed.getAsBoolean();
        } catch (RuntimeException e) {
            log.log(EventCode.TASK_FAILED, topic.name(), "key", "relay", "offset", offset, "cause", e);
            return false;
        }
    }

    private void continueAfterRead(KeyedTopic.ReadResult page) {
        switch (page.outcome()) {
            case EXPIRED -> readNewest();
            case RESTORED -> onRestored(listingDelayMs.getAsLong());
            case FAILED -> scheduler.schedule(Duration.ofMillis(RETRY_DELAY_MS), this::read);
            default -> {
                overdue = false;
                scheduler.schedule(Duration.ofMillis(page.records().isEmpty() ? 0 : readIntervalMs), this::read);
            }
        }
    }

    private void applyAll(Collection<StoreRecord> records) {
        List<StoreRecord> newer = new ArrayList<>();
        for (StoreRecord r : records) {
            StoreRecord known = newest.get(r.key());
            if (known == null || PeerRecords.replaces(r, known)) {
                newest.put(r.key(), r);
                appliedOffset = Math.max(appliedOffset, r.offset());
                newer.add(r);
                guarded(r.key(), r.offset(), () -> listener.accept(r));
            }
        }
        if (!newer.isEmpty()) {
            guarded("batch", appliedOffset, batchListener);
            guarded("relay", appliedOffset, () -> relay.accept(newer));
        }
    }

    /** Runs a listener; its failure on one record or batch must not stop the follower. */
    private void guarded(String key, long at, Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            log.log(EventCode.TASK_FAILED, topic.name(), "key", key, "offset", at, "cause", e);
        }
    }

    private void onFailure(String cause) {
        if (reachable) {
            reachable = false;
            log.log(
                    EventCode.STORE_LOST,
                    topic.name(),
                    "cause",
                    cause,
                    "sent_ms_ago",
                    calls.msSinceSent(),
                    "wait_ms",
                    waitMs,
                    "offset",
                    offset,
                    "age_ms",
                    msSinceLastResponse());
        }
    }

    private void onResponse() {
        if (!reachable) {
            reachable = true;
            log.log(
                    EventCode.STORE_BACK,
                    topic.name(),
                    "offset",
                    offset,
                    "sent_ms_ago",
                    calls.msSinceSent(),
                    "age_ms",
                    msSinceLastResponse());
        }
        sinceResponse = Stopwatch.start(scheduler);
    }
}
