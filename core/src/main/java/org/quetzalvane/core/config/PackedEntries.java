package org.quetzalvane.core.config;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;

import it.unimi.dsi.fastutil.ints.IntArrayList;
import net.openhft.hashing.LongHashFunction;
import org.quetzalvane.core.model.AccessRule;
import org.quetzalvane.core.model.ConfigObject;

/**
 * Adapters, versions and access rules, stored as bytes in segments and indexed by name; access rules also by caller and
 * target.
 *
 * <p>Entries are never changed in place. The space of removed entries is reclaimed by copying the others, once it
 * exceeds both a minimum and the space of the entries left. Not thread-safe, except for reads without a concurrent
 * writer.
 */
final class PackedEntries {
    /** Size limit of an entry in bytes, kept by {@link ConfigTable}; a string length then fits in a positive short. */
    static final int MAX_ENTRY_BYTES = 1 << 15;

    private static final int SEGMENT_BITS = 16;
    private static final int SEGMENT_BYTES = 1 << SEGMENT_BITS;
    private static final int MIN_DEAD_BYTES = 1 << 20;
    private static final LongHashFunction HASH = LongHashFunction.xx();

    private List<ByteBuffer> segments = new ArrayList<>();
    private EntryIndex byName = new EntryIndex(this::nameHash);
    private EntryIndex byCallerAndTarget = new EntryIndex(this::callerAndTargetHash);
    private int segmentUsed = SEGMENT_BYTES;
    private long liveBytes;
    private long deadBytes;

    Optional<ConfigState.Entry> find(ConfigKey key) {
        int position = position(key);
        return position == EntryIndex.NONE ? Optional.empty() : Optional.of(entry(position));
    }

    /** Adds an entry; its key must not be present. */
    void add(ConfigState.Entry e) {
        append(PackedCodec.encode(e));
    }

    /** Removes an entry if it is present. */
    void remove(ConfigKey key) {
        int position = position(key);
        if (position == EntryIndex.NONE) {
            return;
        }
        byName.remove(position);
        if (isRule(position)) {
            byCallerAndTarget.remove(position);
        }
        int size = PackedCodec.encode(entry(position)).length;
        liveBytes -= size;
        deadBytes += size;
        if (deadBytes > MIN_DEAD_BYTES && deadBytes > liveBytes) {
            compact();
        }
    }

    /** Whether a rule for exactly this caller and target satisfies the condition. */
    boolean anyRule(String caller, String target, Predicate<AccessRule> condition) {
        byte[] callerBytes = caller.getBytes(StandardCharsets.UTF_8);
        byte[] targetBytes = target.getBytes(StandardCharsets.UTF_8);
        ByteBuffer callerKey = ByteBuffer.wrap(callerBytes);
        ByteBuffer targetKey = ByteBuffer.wrap(targetBytes);
        long hash = callerAndTargetHash(HASH.hashBytes(callerBytes), HASH.hashBytes(targetBytes));
        int found = byCallerAndTarget.find(
                hash,
                o -> PackedCodec.field(at(o), 1).equals(callerKey)
                        && PackedCodec.field(at(o), 2).equals(targetKey)
                        && condition.test((AccessRule) entry(o).value()));
        return found != EntryIndex.NONE;
    }

    /** Visits all entries, ordered by kind and then by the bytes of their names. */
    void forEach(Consumer<ConfigState.Entry> action) {
        IntArrayList positions = new IntArrayList(byName.size());
        byName.forEach(positions::add);
        positions.sort(this::compare);
        positions.forEach((int o) -> action.accept(entry(o)));
    }

    private int compare(int a, int b) {
        int byKind = PackedCodec.kind(at(a)).compareTo(PackedCodec.kind(at(b)));
        return byKind != 0 ? byKind : PackedCodec.name(at(a)).compareTo(PackedCodec.name(at(b)));
    }

    private int position(ConfigKey key) {
        byte[] name = key.name().getBytes(StandardCharsets.UTF_8);
        ByteBuffer wanted = ByteBuffer.wrap(name);
        return byName.find(
                nameHash(key.kind(), HASH.hashBytes(name)),
                o -> PackedCodec.kind(at(o)) == key.kind()
                        && PackedCodec.name(at(o)).equals(wanted));
    }

    private void append(byte[] data) {
        if (segmentUsed + data.length > SEGMENT_BYTES) {
            segments.add(ByteBuffer.allocate(SEGMENT_BYTES));
            segmentUsed = 0;
        }
        int last = segments.size() - 1;
        segments.get(last).put(segmentUsed, data);
        int position = last << SEGMENT_BITS | segmentUsed;
        segmentUsed += data.length;
        liveBytes += data.length;
        byName.add(position);
        if (isRule(position)) {
            byCallerAndTarget.add(position);
        }
    }

    private void compact() {
        PackedEntries copy = new PackedEntries();
        byName.forEach(o -> copy.add(entry(o)));
        segments = copy.segments;
        segmentUsed = copy.segmentUsed;
        liveBytes = copy.liveBytes;
        deadBytes = 0;
        byName = copy.byName.withHashSource(this::nameHash);
        byCallerAndTarget = copy.byCallerAndTarget.withHashSource(this::callerAndTargetHash);
    }

    private boolean isRule(int position) {
        return PackedCodec.kind(at(position)) == ConfigObject.Kind.ACCESS_RULE;
    }

    private ConfigState.Entry entry(int position) {
        return PackedCodec.decode(at(position));
    }

    private ByteBuffer at(int position) {
        return segments.get(position >>> SEGMENT_BITS).duplicate().position(position & SEGMENT_BYTES - 1);
    }

    private long nameHash(int position) {
        return nameHash(PackedCodec.kind(at(position)), HASH.hashBytes(PackedCodec.name(at(position))));
    }

    private long callerAndTargetHash(int position) {
        return callerAndTargetHash(
                HASH.hashBytes(PackedCodec.field(at(position), 1)), HASH.hashBytes(PackedCodec.field(at(position), 2)));
    }

    private static long nameHash(ConfigObject.Kind kind, long hash) {
        return hash + kind.ordinal();
    }

    private static long callerAndTargetHash(long caller, long target) {
        return caller * 31 + target;
    }
}
