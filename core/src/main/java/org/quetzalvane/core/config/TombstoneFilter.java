package org.quetzalvane.core.config;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import net.openhft.hashing.LongHashFunction;

/**
 * Bloom filter of the names of absent objects whose revision is no longer 0: removed objects, and absent objects for
 * which a record was rejected as invalid. Its memory is bounded.
 *
 * <p>All names share one revision, that of the newest addition. Invariants: the revision of an added name never
 * decreases and never returns to 0. Names that were not added are at revision 0, apart from false positives: to create
 * such an object, a record must state the revision that the rejection reported. The content depends only on the names
 * and on the order in which they were added.
 *
 * <p>Not thread-safe.
 */
final class TombstoneFilter {
    private static final int FILTER_BITS = 1 << 23;
    private static final int PROBES = 4;
    private static final int PIECE_WORDS = 1024;
    private static final LongHashFunction HASH = LongHashFunction.xx();
    private static final LongHashFunction STEP_HASH = LongHashFunction.xx(1);

    private long[] words = new long[0];
    private long revision;

    /**
     * A range of words of the filter. The words must not be modified.
     *
     * @param from index of the first word
     * @param words the words of the filter, 64 bits each
     * @param revision the revision of all names in the filter
     */
    record Piece(int from, long[] words, long revision) {}

    /** The pieces with at least one bit set, in order. */
    List<Piece> pieces() {
        List<Piece> pieces = new ArrayList<>();
        for (int from = 0; from < words.length; from += PIECE_WORDS) {
            long[] piece = Arrays.copyOfRange(words, from, from + PIECE_WORDS);
            if (Arrays.stream(piece).anyMatch(w -> w != 0)) {
                pieces.add(new Piece(from, piece, revision));
            }
        }
        return pieces;
    }

    /** Restores a piece; throws an {@link IllegalArgumentException} when it lies outside of the filter. */
    void restore(Piece piece) {
        allocate();
        if (piece.from() < 0 || piece.from() + piece.words().length > words.length) {
            throw new IllegalArgumentException("filter piece out of range, first word " + piece.from());
        }
        System.arraycopy(piece.words(), 0, words, piece.from(), piece.words().length);
        revision = piece.revision();
    }

    /** Adds the name of an absent object; the new revision must be above all earlier ones. */
    void add(ConfigKey key, long newRevision) {
        allocate();
        String name = key.toString();
        long start = HASH.hashChars(name);
        long step = STEP_HASH.hashChars(name);
        for (int i = 0; i < PROBES; i++) {
            int bit = bit(start, step, i);
            words[bit / Long.SIZE] |= 1L << bit;
        }
        revision = newRevision;
    }

    /** The revision that a record must state to create an absent object. */
    long revision(ConfigKey key) {
        return words.length > 0 && contains(key) ? revision : 0;
    }

    private void allocate() {
        if (words.length == 0) {
            words = new long[FILTER_BITS / Long.SIZE];
        }
    }

    private boolean contains(ConfigKey key) {
        String name = key.toString();
        long start = HASH.hashChars(name);
        long step = STEP_HASH.hashChars(name);
        for (int i = 0; i < PROBES; i++) {
            int bit = bit(start, step, i);
            if ((words[bit / Long.SIZE] & 1L << bit) == 0) {
                return false;
            }
        }
        return true;
    }

    private static int bit(long start, long step, int probe) {
        return (int) (start + probe * (step | 1)) & FILTER_BITS - 1;
    }
}
