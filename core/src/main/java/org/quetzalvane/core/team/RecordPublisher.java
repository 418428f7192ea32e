package org.quetzalvane.core.team;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.quetzalvane.core.store.StoreRecord;

/**
 * Builds the messages in which a node passes on the records that it has just applied. Each states the greatest offset
 * of those before, so that a receiver which missed a message notices it. Every batch has to be published, also when
 * there is no receiver. Confined to the event loop.
 */
public final class RecordPublisher {
    private final String self;
    private final Map<String, Long> greatestOffset = new HashMap<>();

    /** Creates the publisher of the node with an address for peers. */
    public RecordPublisher(String self) {
        this.self = self;
    }

    /** Message with the records of a topic that were just applied, of which there is one at least. */
    public PeerMessage.Records publish(String topic, List<StoreRecord> applied) {
        long before = greatestOffset.getOrDefault(topic, 0L);
        long greatest = applied.stream().mapToLong(StoreRecord::offset).max().orElse(before);
        greatestOffset.put(topic, Math.max(before, greatest));
        return new PeerMessage.Records(self, topic, false, applied, before);
    }
}
