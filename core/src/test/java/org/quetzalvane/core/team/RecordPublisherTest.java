package org.quetzalvane.core.team;

import java.util.Arrays;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.quetzalvane.core.store.StoreRecord;

import static org.assertj.core.api.Assertions.assertThat;

/** The messages with which a node passes on records. */
class RecordPublisherTest {
    private final RecordPublisher publisher = new RecordPublisher("n1");

    @Test
    void eachMessageStatesTheGreatestOffsetOfThoseBefore() {
        assertThat(after("operator", 3, 7)).isZero();
        assertThat(after("operator", 5)).isEqualTo(7);
        assertThat(after("operator", 8)).isEqualTo(7);
        assertThat(after("operator", 9)).isEqualTo(8);
        assertThat(after("endpoints", 4)).isZero();
    }

    private long after(String topic, long... offsets) {
        List<StoreRecord> records = Arrays.stream(offsets)
                .mapToObj(o -> new StoreRecord("key-" + o, new byte[0], o))
                .toList();
        PeerMessage.Records m = publisher.publish(topic, records);
        assertThat(m.from()).isEqualTo("n1");
        assertThat(m.complete()).isFalse();
        assertThat(m.records()).isEqualTo(records);
        return m.endOffset();
    }
}
