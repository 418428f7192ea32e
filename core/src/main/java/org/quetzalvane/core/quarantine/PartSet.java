package org.quetzalvane.core.quarantine;

import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.function.LongConsumer;
import java.util.function.LongPredicate;
import java.util.stream.Collectors;
import java.util.stream.LongStream;

import net.openhft.hashing.LongHashFunction;

/**
 * Prompt parts and identities of requests to one service as a sorted set of 64-bit hashes. The hash of an identity is
 * odd, that of a prompt part is even. Immutable and thread-safe.
 */
public final class PartSet {
    /** Largest number of parts; further ones are left out. */
    public static final int MAX_PARTS = 64;

    private static final LongHashFunction HASH = LongHashFunction.xx3();

    private final long[] sorted;

    private PartSet(long[] sorted) {
        this.sorted = sorted;
    }

    /** Prompt parts of a service; equal ids of different services are different parts. */
    static PartSet of(String service, List<String> parts) {
        return new PartSet(promptParts(service, parts).sorted().distinct().toArray());
    }

    /** The identity and the prompt parts of a request to a service. */
    static PartSet of(String service, long identity, List<String> parts) {
        LongStream identities = LongStream.of(HASH.hashLong(HASH.hashChars(service) + 31 * identity) | 1);
        return new PartSet(LongStream.concat(identities, promptParts(service, parts))
                .limit(MAX_PARTS)
                .sorted()
                .distinct()
                .toArray());
    }

    private static LongStream promptParts(String service, List<String> parts) {
        long seed = HASH.hashChars(service);
        return parts.stream().limit(MAX_PARTS).mapToLong(p -> HASH.hashLong(seed + 31 * HASH.hashChars(p)) & ~1);
    }

    /** Whether a hash is that of the identity of a request. */
    static boolean isIdentity(long hash) {
        return (hash & 1) != 0;
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

    void forEach(LongConsumer action) {
        for (long part : sorted) {
            action.accept(part);
        }
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
