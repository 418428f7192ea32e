package org.quetzalvane.core.team;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import org.quetzalvane.core.store.StoreRecord;
import org.quetzalvane.core.store.WritableTopic;

/** Keyed topic in memory, which answers at once, later, or with a failure. Single-threaded. */
final class FakeWritableTopic implements WritableTopic {
    final Map<String, byte[]> values = new LinkedHashMap<>();
    /** Whether calls fail and are not executed. */
    boolean away;
    /** Answers that the test gives later, or null to give them at once. */
    List<Runnable> held;

    /** Acknowledgements of writes that the test gives later, or null to give them at once. */
    List<Runnable> heldWrites;
    /** Rises when the store comes back from a copy. */
    long epoch;

    int writes;
    int reads;

    @Override
    public String name() {
        return "fake";
    }

    @Override
    public long epoch() {
        return epoch;
    }

    @Override
    public void readNewest(Consumer<ReadResult> done) {
        reads++;
        if (away) {
            done.accept(ReadResult.failed("no answer"));
        } else if (held != null) {
            held.add(() -> done.accept(newest()));
        } else {
            done.accept(newest());
        }
    }

    private ReadResult newest() {
        return ReadResult.ok(
                values.entrySet().stream()
                        .map(e -> new StoreRecord(e.getKey(), e.getValue(), 0))
                        .toList(),
                values.size());
    }

    @Override
    public void read(long offset, long waitMs, Consumer<ReadResult> done) {
        throw new UnsupportedOperationException();
    }

    @Override
    public void write(Map<String, byte[]> written, Set<String> removed, Consumer<Boolean> done) {
        writes++;
        if (!away) {
            values.putAll(written);
            removed.forEach(values::remove);
        }
        boolean executed = !away;
        if (heldWrites != null) {
            heldWrites.add(() -> done.accept(executed));
        } else {
            done.accept(executed);
        }
    }

    /** All values as text. */
    List<String> texts() {
        return values.values().stream().map(String::new).toList();
    }
}
