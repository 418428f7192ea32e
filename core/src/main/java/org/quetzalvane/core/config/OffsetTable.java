package org.quetzalvane.core.config;

import java.util.function.IntConsumer;
import java.util.function.IntPredicate;
import java.util.function.IntToLongFunction;

/**
 * Hash table with open addressing that maps hashes to offsets of entries, in one array of integers. A hash may have
 * several offsets.
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

    /** Creates a table; {@code hashOf} returns the hash of the entry at an offset. */
    OffsetTable(IntToLongFunction hashOf) {
        this.hashOf = hashOf;
    }

    /** A table of the same offsets that reads the same hashes from another source. */
    OffsetTable withHashSource(IntToLongFunction source) {
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

    /** Removes an offset; the entry at it must still be readable. */
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

    /** The first offset in the probe sequence of a hash that satisfies the condition, or {@link #NONE}. */
    int find(long hash, IntPredicate condition) {
        int i = index(hash);
        while (slots[i] != EMPTY) {
            if (slots[i] != DELETED && condition.test(slots[i] - 1)) {
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
