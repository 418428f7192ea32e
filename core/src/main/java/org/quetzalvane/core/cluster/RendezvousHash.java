package org.quetzalvane.core.cluster;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.Function;

import net.openhft.hashing.LongHashFunction;

/**
 * Rendezvous (highest random weight) hashing: a change of the candidates moves only the keys of those that changed.
 *
 * <p>Stateless and thread-safe; every node ranks alike.
 */
public final class RendezvousHash {
    private static final LongHashFunction HASH = LongHashFunction.xx3();

    private RendezvousHash() {}

    /** Candidates ordered by their score for a key, best first; ties go by name. */
    public static <T> List<T> rank(String key, Collection<T> candidates, Function<T, String> name) {
        List<T> ranked = new ArrayList<>(candidates);
        ranked.sort(Comparator.<T>comparingLong(c -> score(key, name.apply(c)))
                .reversed()
                .thenComparing(name));
        return ranked;
    }

    /** Score of one candidate for a key. */
    public static long score(String key, String candidate) {
        return score(hash(key), hash(candidate));
    }

    /** Score of one candidate for a key, both given by their {@link #hash}. */
    public static long score(long keyHash, long candidateHash) {
        return HASH.hashLong(candidateHash + 31 * keyHash);
    }

    /** Hash of a key or of a candidate's name, to be kept where many scores are computed. */
    public static long hash(String name) {
        return HASH.hashChars(name);
    }
}
