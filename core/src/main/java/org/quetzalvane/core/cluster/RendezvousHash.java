package org.quetzalvane.core.cluster;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
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

    /** Number of values of a hash, as a floating-point number. */
    private static final double HASH_RANGE = 0x1p64;

    private RendezvousHash() {}

    /** The candidates by descending score for a key; candidates with equal scores are ordered by name. */
    public static <T> List<T> rank(String key, Collection<T> candidates, Function<T, String> name) {
        long keyHash = hash(key);
        List<Scored<T>> scored = new ArrayList<>(candidates.size());
        for (T c : candidates) {
            String n = name.apply(c);
            scored.add(new Scored<>(c, n, score(keyHash, hash(n))));
        }
        Collections.sort(scored);
        List<T> ranked = new ArrayList<>(scored.size());
        scored.forEach(s -> ranked.add(s.candidate));
        return ranked;
    }

    /** A candidate with its score, which is computed once and not in each comparison. */
    private record Scored<T>(T candidate, String name, long score) implements Comparable<Scored<T>> {
        @Override
        public int compareTo(Scored<T> other) {
            int byScore = Long.compare(other.score, score);
            return byScore != 0 ? byScore : name.compareTo(other.name);
        }
    }

    /** The score of a candidate for a key. */
    public static long score(String key, String candidate) {
        return score(hash(key), hash(candidate));
    }

    /** The score of a candidate for a key, from the {@link #hash} of each. */
    public static long score(long keyHash, long candidateHash) {
        return HASH.hashLong(candidateHash + 31 * keyHash);
    }

    /**
     * The score of a candidate for a key in weighted rendezvous hashing: over many keys, the share of those for which a
     * candidate has the greatest score is in proportion to its weight, which must be positive.
     */
    public static double weightedScore(String key, String candidate, double weight) {
        double uniform = (score(key, candidate) + HASH_RANGE / 2) / HASH_RANGE;
        return -weight / Math.log(Math.min(Math.max(uniform, Double.MIN_NORMAL), Math.nextDown(1.0)));
    }

    /** The hash of a key or of the name of a candidate, for calling code that computes many scores. */
    public static long hash(String name) {
        return HASH.hashChars(name);
    }
}
