package org.quetzalvane.core.quarantine;

import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.function.LongPredicate;
import java.util.stream.Collectors;

import net.openhft.hashing.LongHashFunction;

/** Prompt parts of one service as a sorted set of 64-bit hashes. Immutable and thread-safe. */
public final class PartSet {
    /** Largest number of parts; further ones are left out. */
    public static final int MAX_PARTS = 64;

    private static final LongHashFunction HASH = LongHashFunction.xx3();

    private final long[] sorted;

    private PartSet(long[] sorted) {
        this.sorted = sorted;
    }

    /** The parts of a request to a service; equal ids of different services are different parts. */
    public static PartSet of(String service, List<String> parts) {
        long seed = HASH.hashChars(service);
        return new PartSet(parts.stream()
                .limit(MAX_PARTS)
                .mapToLong(p -> HASH.hashLong(seed + 31 * HASH.hashChars(p)))
                .sorted()
                .distinct()
                .toArray());
    }

    /** The set of the given hashes. */
    public static PartSet ofHashes(Collection<Long> hashes) {
        return new PartSet(hashes.stream()
                .limit(MAX_PARTS)
                .mapToLong(Long::longValue)
                .sorted()
                .distinct()
                .toArray());
    }

    public int size() {
        return sorted.length;
    }

    public boolean isEmpty() {
        return sorted.length == 0;
    }

    /** The hashes in ascending order. */
    public List<Long> hashes() {
        return Arrays.stream(sorted).boxed().toList();
    }

    public boolean contains(long part) {
        return Arrays.binarySearch(sorted, part) >= 0;
    }

    /** Whether this set is not empty and the other one has all of its parts. */
    public boolean isWithin(PartSet other) {
        return sorted.length > 0
                && sorted.length <= other.sorted.length
                && Arrays.stream(sorted).allMatch(other::contains);
    }

    public PartSet intersect(PartSet other) {
        return filter(other::contains);
    }

    public PartSet filter(LongPredicate kept) {
        return new PartSet(Arrays.stream(sorted).filter(kept).toArray());
    }

    /** Hash of the set, the same on all nodes. */
    public long id() {
        return HASH.hashLongs(sorted);
    }

    @Override
    public boolean equals(Object o) {
        return o instanceof PartSet s && Arrays.equals(sorted, s.sorted);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(sorted);
    }

    /** The hashes in hexadecimal, for the log. */
    @Override
    public String toString() {
        return Arrays.stream(sorted).mapToObj(Long::toHexString).collect(Collectors.joining(" "));
    }
}
