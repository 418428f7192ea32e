package org.quetzalvane.core.config;

import java.util.function.IntConsumer;
import java.util.function.IntPredicate;
import java.util.function.IntToLongFunction;

/**
 * Open hashing from hashes to offsets of entries, several per hash, in one array of integers.
 *
 * <p>Not thread-safe.
 */
final class OffsetTable {
    static final int NONE = -1;

    private static final int MIN_SLOTS = 16;
    private static final int EMPTY = 0;
    private static final int DELETED = -1;

    private final IntToLongFunction hashOf;
    private int[] slots = new int[MIN_SLOTS];
    private int live;
    private int used;

    /** Builds a table; {@code hashOf} gives the hash of the entry at an offset. */
    OffsetTable(IntToLongFunction hashOf) {
        this.hashOf = hashOf;
    }

    /** The same offsets with another source of the same hashes. */
    OffsetTable rebound(IntToLongFunction source) {
        OffsetTable copy = new OffsetTable(source);
        copy.slots = slots;
        copy.live = live;
        copy.used = used;
        return copy;
    }

    int size() {
        return live;
    }

    void add(int offset) {
        if ((used + 1) * 4L > slots.length * 3L) {
            rehash();
        }
        int i = index(hashOf.applyAsLong(offset));
        while (slots[i] != EMPTY) {
            i = i + 1 & slots.length - 1;
        }
        slots[i] = offset + 1;
        live++;
        used++;
    }

    /** Removes an offset; the entry must still be readable. */
    void remove(int offset) {
        int i = index(hashOf.applyAsLong(offset));
        while (slots[i] != EMPTY) {
            if (slots[i] == offset + 1) {
                slots[i] = DELETED;
                live--;
                return;
            }
            i = i + 1 & slots.length - 1;
        }
    }

    /** The first offset in the chain of a hash that fits, or {@link #NONE}. */
    int find(long hash, IntPredicate fits) {
        int i = index(hash);
        while (slots[i] != EMPTY) {
            if (slots[i] != DELETED && fits.test(slots[i] - 1)) {
                return slots[i] - 1;
            }
            i = i + 1 & slots.length - 1;
        }
        return NONE;
    }

    void forEach(IntConsumer action) {
        for (int s : slots) {
            if (s != EMPTY && s != DELETED) {
                action.accept(s - 1);
            }
        }
    }

    private void rehash() {
        int[] old = slots;
        int size = MIN_SLOTS;
        while (size * 3L < (live + 1) * 5L) {
            size *= 2;
        }
        slots = new int[size];
        live = 0;
        used = 0;
        for (int s : old) {
            if (s != EMPTY && s != DELETED) {
                add(s - 1);
            }
        }
    }

    private int index(long hash) {
        return (int) (hash ^ hash >>> Integer.SIZE) & slots.length - 1;
    }
}
