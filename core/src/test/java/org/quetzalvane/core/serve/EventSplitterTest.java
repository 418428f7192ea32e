package org.quetzalvane.core.serve;

import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

import com.sun.management.ThreadMXBean;
import org.junit.jupiter.api.Test;
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
        assertThat(splitter.attemptHasEvents()).isTrue();
        splitter.beginAttempt();
        assertThat(splitter.hasPartialEvent()).isFalse();
        assertThat(splitter.attemptHasEvents()).isFalse();
        assertThat(splitter.lastId()).isEqualTo("3");
    }

    /** An endpoint that failed within its stream wrote the head of an error there. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 7, 20, 1_000})
    void eventsBeforeTheHeadOfAResponseAreReturnedForAnyChunkSize(int chunkSize) {
        EventSplitter splitter = new EventSplitter(null);
        byte[] all = (EVENTS + "id: 4\ndata: haHTTP/1.1 500 Error\r\nServer: x\r\n\r\nid: 5\n\n")
                .getBytes(StandardCharsets.US_ASCII);
        StringBuilder out = new StringBuilder();
        for (int i = 0; i < all.length && !splitter.hasHead(); i += chunkSize) {
            out.append(new String(splitter.feed(Arrays.copyOfRange(all, i, Math.min(all.length, i + chunkSize)))));
        }
        assertThat(out).hasToString(EVENTS);
        assertThat(splitter.lastId()).isEqualTo("3");
        assertThat(splitter.hasHead()).isTrue();
        splitter.beginAttempt();
        assertThat(splitter.hasHead()).isFalse();
    }

    /** Allocation stands for bytes copied; it does not depend on the speed of the machine. */
    @Test
    void bytesCopiedForAnEventWithoutEndAreLinearInItsLength() {
        ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        EventSplitter splitter = new EventSplitter(null);
        byte[] chunk = new byte[1_024];
        Arrays.fill(chunk, (byte) 'x');
        int chunks = 1_000;
        long before = threads.getCurrentThreadAllocatedBytes();
        for (int i = 0; i < chunks; i++) {
            splitter.feed(chunk);
        }
        long allocated = threads.getCurrentThreadAllocatedBytes() - before;
        assertThat(allocated).isLessThan(10L * chunks * chunk.length);
    }
}
