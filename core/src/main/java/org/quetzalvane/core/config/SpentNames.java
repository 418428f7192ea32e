package org.quetzalvane.core.config;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import net.openhft.hashing.LongHashFunction;

/**
 * Names of absent objects whose revision 0 was used up, in bounded memory.
 *
 * <p>A Bloom filter of the names with one revision for all of them, the newest. Invariants: the revision of a spent
 * name never falls and never returns to 0; a name that was never spent is at revision 0, but for the few that the
 * filter confuses with a spent one, for which a create must state the revision of the refusal. The content depends on
 * the names and the order of spending alone.
 *
 * <p>Not thread-safe.
 */
final class SpentNames {
    private static final int FILTER_BITS = 1 << 23;
    private static final int PROBES = 4;
    private static final int PIECE_WORDS = 1024;
    private static final LongHashFunction HASH = LongHashFunction.xx();
    private static final LongHashFunction STEP_HASH = LongHashFunction.xx(1);

    private long[] words = new long[0];
    private long revision;

    /**
     * A piece of the filter. The words must not be modified.
     *
     * @param from index of the first word
     * @param words the words
     * @param revision the revision of all spent names
     */
    record Piece(int from, long[] words, long revision) {}

    /** The pieces that are not empty, in order. */
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

    /** Takes in a piece; fails with {@link IllegalArgumentException} when it lies outside of the filter. */
    void restore(Piece piece) {
        allocate();
        if (piece.from() < 0 || piece.from() + piece.words().length > words.length) {
            throw new IllegalArgumentException("piece at " + piece.from());
        }
        System.arraycopy(piece.words(), 0, words, piece.from(), piece.words().length);
        revision = piece.revision();
    }

    /** Notes that an absent object now has the given revision, which must be above all earlier ones. */
    void spend(ConfigKey key, long newRevision) {
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

    /** The revision that a create of an absent object must state. */
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
