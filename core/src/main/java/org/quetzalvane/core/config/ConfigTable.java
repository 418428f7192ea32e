package org.quetzalvane.core.config;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.locks.ReentrantReadWriteLock;
import java.util.function.Function;

import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.exc.RecordException;
import org.quetzalvane.core.model.Adapter;
import org.quetzalvane.core.model.ConfigObject;
import org.quetzalvane.core.model.Engine;
import org.quetzalvane.core.model.PublishedVersion;

/**
 * The replicated configuration: applies the records of the configuration stream deterministically.
 *
 * <p>Invariant: two tables that have applied the same offsets hold the same state and returned the same outcomes.
 * Records are applied in offset order; an offset at or below the applied one has no effect. A record that states the
 * current revision of its object advances the revision to the offset of the record plus 1, whether the record is
 * accepted or rejected as invalid. No revision occurs twice. A repetition of the same bytes therefore never changes the
 * state, even after the outcome of the record was evicted.
 *
 * <p>Thread-safe, by a read-write lock. Lock order: the monitor of the recent records of
 * {@link org.quetzalvane.core.node.ConfigFeed}, then this lock. No lock is taken while this lock is held.
 */
public final class ConfigTable {
    /**
     * Size limit of a record in bytes: half of the limit of a packed entry, so that the packed form always fits. Text
     * that a record encodes as UTF-16 may become longer in the UTF-8 of the entry.
     */
    private static final int MAX_RECORD_BYTES = PackedEntries.MAX_ENTRY_BYTES / 2;

    /** Number of outcomes that are kept to recognize repeated records. */
    private static final int MAX_OUTCOMES = 4096;

    private final ReentrantReadWriteLock lock = new ReentrantReadWriteLock();
    private ConfigState state = new ConfigState();
    private final Map<String, RecordOutcome> outcomesById = new HashMap<>();
    private final Deque<String> idsByAge = new ArrayDeque<>();
    private final int maxOutcomes;
    private long applied = -1;

    public ConfigTable() {
        this(MAX_OUTCOMES);
    }

    ConfigTable(int maxOutcomes) {
        this.maxOutcomes = maxOutcomes;
    }

    /** Applies the record at an offset and returns its outcome, or empty when the offset was applied before. */
    public Optional<RecordOutcome> apply(long offset, byte[] data) {
        lock.writeLock().lock();
        try {
            if (offset <= applied) {
                return Optional.empty();
            }
            RecordOutcome outcome = applyRecord(offset, data);
            applied = offset;
            addOutcome(outcome);
            return Optional.of(outcome);
        } finally {
            lock.writeLock().unlock();
        }
    }

    /** The highest offset applied, or -1 before the first record. */
    public long appliedOffset() {
        lock.readLock().lock();
        try {
            return applied;
        } finally {
            lock.readLock().unlock();
        }
    }

    /** Applies a function to a consistent state. The function must not retain the state or take other locks. */
    public <T> T read(Function<ConfigState, T> reader) {
        lock.readLock().lock();
        try {
            return reader.apply(state);
        } finally {
            lock.readLock().unlock();
        }
    }

    /** Returns the outcome of the first record with an id, or empty if none was applied or the outcome was evicted. */
    public Optional<RecordOutcome> outcome(String id) {
        lock.readLock().lock();
        try {
            return Optional.ofNullable(outcomesById.get(id));
        } finally {
            lock.readLock().unlock();
        }
    }

    /** The parts of a snapshot at the applied offset. */
    public List<byte[]> snapshot() {
        return withReadLock(() -> {
            SnapshotCodec.Writer writer = new SnapshotCodec.Writer(applied);
            state.writeTo(writer);
            idsByAge.forEach(id -> writer.accept(new SnapshotCodec.Item(null, outcomesById.get(id), null)));
            return writer.finish();
        });
    }

    /**
     * Replaces the state by a snapshot of a later offset; any other snapshot has no effect.
     *
     * @param parts all parts of one snapshot, at least one, in order; not checked for completeness
     * @return whether the state was replaced
     * @throws org.quetzalvane.core.exc.RecordException when a part is malformed; the state is then unchanged
     */
    public boolean restore(List<SnapshotCodec.Part> parts) {
        long at = parts.get(0).at();
        ConfigState restored = new ConfigState();
        List<RecordOutcome> outcomes = new ArrayList<>();
        for (SnapshotCodec.Part part : parts) {
            for (SnapshotCodec.Item item : SnapshotCodec.items(part)) {
                restored.restore(item);
                if (item.outcome() != null) {
                    outcomes.add(item.outcome());
                }
            }
        }
        lock.writeLock().lock();
        try {
            if (at <= applied) {
                return false;
            }
            state = restored;
            outcomesById.clear();
            idsByAge.clear();
            outcomes.forEach(this::addOutcome);
            applied = at;
            return true;
        } finally {
            lock.writeLock().unlock();
        }
    }

    private RecordOutcome applyRecord(long offset, byte[] data) {
        if (data.length > MAX_RECORD_BYTES) {
            String message = "record exceeds the limit of " + MAX_RECORD_BYTES + " bytes";
            return new RecordOutcome(offset, "", null, ResultCode.RECORD_MALFORMED, 0, message);
        }
        ConfigRecord r;
        try {
            r = RecordCodec.decode(data);
        } catch (RecordException e) {
            return new RecordOutcome(offset, "", null, e.code(), 0, e.getMessage());
        }
        RecordOutcome earlier = outcomesById.get(r.id());
        if (earlier != null) {
            return newOutcome(offset, r, ResultCode.RECORD_REPEATED, "first applied at offset " + earlier.offset());
        }
        long revision = state.revision(r.key());
        if (revision != r.expectedRevision()) {
            return newOutcome(offset, r, ResultCode.REVISION_CONFLICT, "the object is at revision " + revision);
        }
        Optional<String> violation = violation(r);
        if (violation.isPresent()) {
            state.advanceRevision(r.key(), offset + 1);
            return newOutcome(offset, r, ResultCode.RECORD_INVALID, violation.get());
        }
        if (r.value() == null) {
            state.remove(r.key(), offset + 1);
        } else {
            state.put(r.key(), offset + 1, r.value());
        }
        return newOutcome(offset, r, ResultCode.RECORD_ACCEPTED, "");
    }

    private RecordOutcome newOutcome(long offset, ConfigRecord r, ResultCode code, String message) {
        return new RecordOutcome(offset, r.id(), r.key(), code, state.revision(r.key()), message);
    }

    private Optional<String> violation(ConfigRecord r) {
        ConfigObject v = r.value();
        if (v == null) {
            return state.find(r.key()).isPresent() ? Optional.empty() : Optional.of("there is nothing to remove");
        }
        if (v instanceof PublishedVersion) {
            return versionViolation((PublishedVersion) v);
        }
        if (v instanceof Adapter) {
            return baseModelViolation(((Adapter) v).baseModel());
        }
        if (v instanceof Engine) {
            return baseModelViolation(((Engine) v).baseModel());
        }
        return Optional.empty();
    }

    private Optional<String> versionViolation(PublishedVersion v) {
        if (state.adapter(v.adapter()).isEmpty()) {
            return Optional.of("adapter " + v.adapter() + " does not exist");
        }
        return state.version(v.adapterVersion()).isPresent()
                ? Optional.of("a published version never changes; publish a new one")
                : Optional.empty();
    }

    private Optional<String> baseModelViolation(String name) {
        ConfigKey key = new ConfigKey(ConfigObject.Kind.BASE_MODEL, name);
        return state.find(key).isPresent() ? Optional.empty() : Optional.of("base model " + name + " does not exist");
    }

    private void addOutcome(RecordOutcome outcome) {
        if (outcome.id().isEmpty() || outcomesById.containsKey(outcome.id())) {
            return;
        }
        outcomesById.put(outcome.id(), outcome);
        idsByAge.addLast(outcome.id());
        if (idsByAge.size() > maxOutcomes) {
            outcomesById.remove(idsByAge.removeFirst());
        }
    }

    /** The outcomes that were not evicted, oldest first. */
    public List<RecordOutcome> recentOutcomes() {
        return withReadLock(() -> idsByAge.stream().map(outcomesById::get).toList());
    }

    private <T> T withReadLock(java.util.function.Supplier<T> body) {
        lock.readLock().lock();
        try {
            return body.get();
        } finally {
            lock.readLock().unlock();
        }
    }
}
