package org.quetzalvane.core.serve;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class EventSplitterTest {
    private static final String EVENTS =
            "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nx-weight-versions: 2\nid: 3\ndata: c\n\n";

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 7, 20, 1_000})
    void completeEventsAreReturnedInOrderForAnyChunkSize(int chunkSize) {
        EventSplitter splitter = new EventSplitter(null);
        byte[] all = (EVENTS + "id: 4\ndata: ha").getBytes(StandardCharsets.US_ASCII);
        StringBuilder out = new StringBuilder();
        for (int i = 0; i < all.length; i += chunkSize) {
            out.append(new String(splitter.feed(Arrays.copyOfRange(all, i, Math.min(all.length, i + chunkSize)))));
        }
        assertThat(out).hasToString(EVENTS);
        assertThat(splitter.lastId()).isEqualTo("3");
        assertThat(splitter.hasPartialEvent()).isTrue();
        splitter.discardPartialEvent();
        assertThat(splitter.hasPartialEvent()).isFalse();
        assertThat(splitter.lastId()).isEqualTo("3");
    }
}
