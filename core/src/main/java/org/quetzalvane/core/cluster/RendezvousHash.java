package org.quetzalvane.core.cluster;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.Function;

import net.openhft.hashing.LongHashFunction;

/**
 * Rendezvous (highest random weight) hashing: when candidates are added or removed, only their own keys move.
 *
 * <p>All nodes compute the same order. Stateless and thread-safe.
 */
public final class RendezvousHash {
    private static final LongHashFunction HASH = LongHashFunction.xx3();

    private RendezvousHash() {}

    /** The candidates by descending score for a key; candidates with equal scores are ordered by name. */
    public static <T> List<T> rank(String key, Collection<T> candidates, Function<T, String> name) {
        long keyHash = hash(key);
        List<Scored<T>> scored = new ArrayList<>(candidates.size());
        for (T c : candidates) {
            String n = name.apply(c);
            scored.add(new Scored<>(c, n, score(keyHash, hash(n))));
        }
        scored.sort(
                Comparator.<Scored<T>>comparingLong(Scored::score).reversed().thenComparing(Scored::name));
        List<T> ranked = new ArrayList<>(scored.size());
        scored.forEach(s -> ranked.add(s.candidate));
        return ranked;
    }

    /** A candidate with its score, which is computed once and not in each comparison. */
    private record Scored<T>(T candidate, String name, long score) {}

    /** The score of a candidate for a key. */
    public static long score(String key, String candidate) {
        return score(hash(key), hash(candidate));
    }

    /** The score of a candidate for a key, from the {@link #hash} of each. */
    public static long score(long keyHash, long candidateHash) {
        return HASH.hashLong(candidateHash + 31 * keyHash);
    }

    /** The hash of a key or of the name of a candidate, for calling code that computes many scores. */
    public static long hash(String name) {
        return HASH.hashChars(name);
    }
}
