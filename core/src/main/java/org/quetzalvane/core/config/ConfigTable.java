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
 * Deterministic fold of the configuration stream.
 *
 * <p>Invariant: two tables that have applied the same offsets hold the same state and gave the same outcomes. Records
 * are applied in offset order; an offset at or below the applied one changes nothing. A record that matches the
 * revision of its object uses that revision up, whether it is accepted or refused as invalid, and revisions never
 * return; so a record decides something once, and no later repeat of its bytes changes the state, also when its id is
 * no longer remembered.
 *
 * <p>Thread-safe. Of all locks only the monitor of the feed's ring may be held when its read-write lock is taken, and
 * no other lock is taken while it is held.
 */
public final class ConfigTable {
    /** Most bytes of a record; entries packed from it fit by far. */
    private static final int MAX_RECORD_BYTES = PackedEntries.MAX_ENTRY_BYTES / 2;

    private static final int REMEMBERED_OUTCOMES = 4096;

    private final ReentrantReadWriteLock lock = new ReentrantReadWriteLock();
    private ConfigState state = new ConfigState();
    private final Map<String, RecordOutcome> byId = new HashMap<>();
    private final Deque<String> idOrder = new ArrayDeque<>();
    private final int rememberedOutcomes;
    private long applied = -1;

    public ConfigTable() {
        this(REMEMBERED_OUTCOMES);
    }

    ConfigTable(int rememberedOutcomes) {
        this.rememberedOutcomes = rememberedOutcomes;
    }

    /** Applies the record at an offset and returns what became of it, or empty when the offset was applied before. */
    public Optional<RecordOutcome> apply(long offset, byte[] data) {
        lock.writeLock().lock();
        try {
            if (offset <= applied) {
                return Optional.empty();
            }
            RecordOutcome outcome = fold(offset, data);
            applied = offset;
            remember(outcome);
            return Optional.of(outcome);
        } finally {
            lock.writeLock().unlock();
        }
    }

    /** The highest offset applied, -1 before the first. */
    public long appliedOffset() {
        lock.readLock().lock();
        try {
            return applied;
        } finally {
            lock.readLock().unlock();
        }
    }

    /** Reads from a consistent state. The function must not keep the state or take other locks. */
    public <T> T read(Function<ConfigState, T> reader) {
        lock.readLock().lock();
        try {
            return reader.apply(state);
        } finally {
            lock.readLock().unlock();
        }
    }

    /** The outcome of a recently folded record. */
    public Optional<RecordOutcome> outcome(String id) {
        lock.readLock().lock();
        try {
            return Optional.ofNullable(byId.get(id));
        } finally {
            lock.readLock().unlock();
        }
    }

    /** The parts of a snapshot at the applied offset. */
    public List<byte[]> snapshot() {
        return withRead(() -> {
            SnapshotCodec.Writer writer = new SnapshotCodec.Writer(applied);
            state.writeTo(writer);
            idOrder.forEach(id -> writer.accept(new SnapshotCodec.Item(null, byId.get(id), null)));
            return writer.finish();
        });
    }

    /**
     * Replaces the state by a snapshot of a later offset; an earlier one changes nothing.
     *
     * @param parts all parts of the snapshot, in order
     * @return whether the state was replaced
     * @throws org.quetzalvane.core.exc.RecordException when a part is malformed; the state is as before then
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
            byId.clear();
            idOrder.clear();
            outcomes.forEach(this::remember);
            applied = at;
            return true;
        } finally {
            lock.writeLock().unlock();
        }
    }

    private RecordOutcome fold(long offset, byte[] data) {
        if (data.length > MAX_RECORD_BYTES) {
            String message = "a record has at most " + MAX_RECORD_BYTES + " bytes";
            return new RecordOutcome(offset, "", null, ResultCode.RECORD_MALFORMED, 0, message);
        }
        ConfigRecord r;
        try {
            r = RecordCodec.decode(data);
        } catch (RecordException e) {
            return new RecordOutcome(offset, "", null, e.code(), 0, e.getMessage());
        }
        RecordOutcome earlier = byId.get(r.id());
        if (earlier != null) {
            return outcome(offset, r, ResultCode.RECORD_REPEATED, "first folded at offset " + earlier.offset());
        }
        long revision = state.revision(r.key());
        if (revision != r.expectedRevision()) {
            return outcome(offset, r, ResultCode.REVISION_CONFLICT, "the object is at revision " + revision);
        }
        Optional<String> fault = fault(r);
        if (fault.isPresent()) {
            state.useUpRevision(r.key(), offset + 1);
            return outcome(offset, r, ResultCode.RECORD_INVALID, fault.get());
        }
        if (r.value() == null) {
            state.remove(r.key(), offset + 1);
        } else {
            state.put(r.key(), offset + 1, r.value());
        }
        return outcome(offset, r, ResultCode.RECORD_ACCEPTED, "");
    }

    private RecordOutcome outcome(long offset, ConfigRecord r, ResultCode code, String message) {
        return new RecordOutcome(offset, r.id(), r.key(), code, state.revision(r.key()), message);
    }

    private Optional<String> fault(ConfigRecord r) {
        ConfigObject v = r.value();
        if (v == null) {
            return state.find(r.key()).isPresent() ? Optional.empty() : Optional.of("there is nothing to remove");
        }
        if (v instanceof PublishedVersion) {
            return versionFault((PublishedVersion) v);
        }
        if (v instanceof Adapter) {
            return baseModelFault(((Adapter) v).baseModel());
        }
        if (v instanceof Engine) {
            return baseModelFault(((Engine) v).baseModel());
        }
        return Optional.empty();
    }

    private Optional<String> versionFault(PublishedVersion v) {
        if (state.adapter(v.adapter()).isEmpty()) {
            return Optional.of("adapter " + v.adapter() + " does not exist");
        }
        return state.version(v.key()).isPresent()
                ? Optional.of("a published version never changes; publish a new one")
                : Optional.empty();
    }

    private Optional<String> baseModelFault(String name) {
        ConfigKey key = new ConfigKey(ConfigObject.Kind.BASE_MODEL, name);
        return state.find(key).isPresent() ? Optional.empty() : Optional.of("base model " + name + " does not exist");
    }

    private void remember(RecordOutcome outcome) {
        if (outcome.id().isEmpty() || byId.containsKey(outcome.id())) {
            return;
        }
        byId.put(outcome.id(), outcome);
        idOrder.addLast(outcome.id());
        if (idOrder.size() > rememberedOutcomes) {
            byId.remove(idOrder.removeFirst());
        }
    }

    /** Outcomes still remembered, oldest first. */
    public List<RecordOutcome> recentOutcomes() {
        return withRead(() -> idOrder.stream().map(byId::get).toList());
    }

    private <T> T withRead(java.util.function.Supplier<T> body) {
        lock.readLock().lock();
        try {
            return body.get();
        } finally {
            lock.readLock().unlock();
        }
    }
}
