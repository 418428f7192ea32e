package org.quetzalvane.core.store;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Records of one topic that a peer knows. Immutable; the list must not be changed.
 *
 * @param records newest record of each key
 * @param endOffset a key that is not in the list had no value just before this offset; 0 if that is not stated
 */
public record PeerRecords(List<StoreRecord> records, long endOffset) {

    /**
     * Combines the answers of several peers: the newest record of each key, and a removal for each key that an answer
     * with a greater end offset lacks.
     */
    public static PeerRecords merge(List<PeerRecords> answers) {
        List<PeerRecords> oldestFirst = new ArrayList<>(answers);
        oldestFirst.sort(Comparator.comparingLong(PeerRecords::endOffset));
        Map<String, StoreRecord> newest = new HashMap<>();
        for (PeerRecords answer : oldestFirst) {
            answer.absentFrom(newest).forEach(r -> newest.put(r.key(), r));
            answer.records.forEach(r -> newest.merge(r.key(), r, (a, b) -> replaces(b, a) ? b : a));
        }
        long end = oldestFirst.isEmpty() ? 0 : oldestFirst.get(oldestFirst.size() - 1).endOffset;
        return new PeerRecords(List.copyOf(newest.values()), end);
    }

    /**
     * Whether a record is newer than another one of its key. The removal of a key that a listing lacks has the end
     * offset of the listing, which the next record may have as well.
     */
    static boolean replaces(StoreRecord r, StoreRecord known) {
        boolean writtenAgain = r.offset() == known.offset() && known.value() == null && r.value() != null;
        return known.offset() < r.offset() || writtenAgain;
    }

    /** Removals of the known keys that this list shows to be removed, at its end offset. */
    List<StoreRecord> absentFrom(Map<String, StoreRecord> known) {
        Set<String> present = new HashSet<>();
        records.forEach(r -> present.add(r.key()));
        return known.values().stream()
                .filter(r -> r.value() != null && !present.contains(r.key()) && r.offset() < endOffset)
                .map(r -> new StoreRecord(r.key(), null, endOffset))
                .toList();
    }
}
