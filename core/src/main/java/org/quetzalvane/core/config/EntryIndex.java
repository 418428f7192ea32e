package org.quetzalvane.core.config;

import java.util.function.IntConsumer;
import java.util.function.IntPredicate;
import java.util.function.IntToLongFunction;

/**
 * Open-addressing hash table of the positions of packed entries, in one array of integers. Several positions may have
 * equal hashes.
 *
 * <p>Not thread-safe.
 */
final class EntryIndex {
    static final int NONE = -1;

    private static final int MIN_SLOTS = 16;
    private static final int EMPTY = 0;
    private static final int DELETED = -1;

    private final IntToLongFunction hashOf;
    private int[] slots = new int[MIN_SLOTS];
    private int liveSlots;
    private int usedSlots;

    /** Creates a table; {@code hashOf} returns the hash of the entry at a position. */
    EntryIndex(IntToLongFunction hashOf) {
        this.hashOf = hashOf;
    }

    /**
     * Returns a table that takes over the slots of this one, with another hash function of equal results. This table
     * must not be used afterwards.
     */
    EntryIndex withHashSource(IntToLongFunction source) {
        EntryIndex successor = new EntryIndex(source);
        successor.slots = slots;
        successor.liveSlots = liveSlots;
        successor.usedSlots = usedSlots;
        return successor;
    }

    int size() {
        return liveSlots;
    }

    void add(int position) {
        if ((usedSlots + 1) * 4L > slots.length * 3L) {
            rehash();
        }
        int i = index(hashOf.applyAsLong(position));
        while (slots[i] != EMPTY) {
            i = i + 1 & slots.length - 1;
        }
        slots[i] = position + 1;
        liveSlots++;
        usedSlots++;
    }

    /** Removes a position; the entry there must still be readable. */
    void remove(int position) {
        int i = index(hashOf.applyAsLong(position));
        while (slots[i] != EMPTY) {
            if (slots[i] == position + 1) {
                slots[i] = DELETED;
                liveSlots--;
                return;
            }
            i = i + 1 & slots.length - 1;
        }
    }

    /** The first position in the probe sequence of a hash that satisfies the condition, or {@link #NONE}. */
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
        while (size * 3L < (liveSlots + 1) * 5L) {
            size *= 2;
        }
        slots = new int[size];
        liveSlots = 0;
        usedSlots = 0;
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
