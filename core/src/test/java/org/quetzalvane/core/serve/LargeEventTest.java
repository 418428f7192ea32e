package org.quetzalvane.core.serve;

import java.util.Arrays;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalvane.core.event.EventCode;
import org.quetzalvane.core.limit.MemoryAccount.Holding;
import org.quetzalvane.core.limit.MemoryAccount.Kind;
import org.quetzalvane.core.routes.RouteKind;

import static org.assertj.core.api.Assertions.assertThat;

/** Events of any size on the way to the caller. */
class LargeEventTest extends RequestFlowFixture {
    private static final String EVENT = "id: 1\ndata: a\n\n";
    private static final int CHUNK_BYTES = 16 * 1024;

    /** Sends bytes without the end of an event until they exceed the bound and the call is cancelled. */
    private void sendEventWithoutEnd() {
        int cancelledBefore = client.cancelled;
        client.last().head(head(200, false));
        client.last().body(EVENT.getBytes());
        int sent = 0;
        while (client.cancelled == cancelledBefore && sent <= 2 * EventSplitter.MAX_EVENT_BYTES) {
            client.last().body(filled(CHUNK_BYTES));
            sent += CHUNK_BYTES;
        }
        assertThat(client.cancelled).isEqualTo(cancelledBefore + 1);
        assertThat(sent).isBetween(EventSplitter.MAX_EVENT_BYTES, EventSplitter.MAX_EVENT_BYTES + CHUNK_BYTES);
    }

    private static byte[] filled(int length) {
        byte[] bytes = new byte[length];
        Arrays.fill(bytes, (byte) 'x');
        return bytes;
    }

    @Test
    void eventWithoutEndIsABrokenConnectionAndTheStreamResumesElsewhere() {
        start(RouteKind.STREAMING, RESIDENT_ADAPTER);
        sendEventWithoutEnd();
        assertThat(client.sent).hasSize(2).doesNotHaveDuplicates();
        assertThat(client.requests.get(1).lastEventId()).isEqualTo("1");
        client.last().head(head(200, false));
        client.last().body("id: 2\ndata: b\n\n".getBytes());
        client.last().end();
        assertThat(response.body).hasToString(EVENT + "id: 2\ndata: b\n\n");
        assertThat(response.ended).isTrue();
        assertThat(logged).containsOnlyOnce(EventCode.INPUT_TOO_LARGE);
    }

    /** The stream with the largest partial event is resumed elsewhere, within the retry budget. */
    @Test
    void streamWithinAnEventIsResumedElsewhereWhenTheNodesMemoryIsFull() {
        start(RouteKind.STREAMING, RESIDENT_ADAPTER);
        client.last().head(head(200, false));
        client.last().body(EVENT.getBytes());
        client.last().body(filled(CHUNK_BYTES));
        assertThat(memory.held(Kind.RESPONSE_PART)).isGreaterThanOrEqualTo(CHUNK_BYTES);
        memory.open(Kind.RESPONSE_PART).hold(memory.share(Kind.RESPONSE_PART));
        assertThat(client.cancelled).isEqualTo(1);
        assertThat(memory.held(Kind.RESPONSE_PART)).isEqualTo(memory.share(Kind.RESPONSE_PART));
        assertThat(client.requests.get(1).lastEventId()).isEqualTo("1");
        client.last().head(head(200, false));
        client.last().body("id: 2\ndata: b\n\n".getBytes());
        client.last().end();
        assertThat(response.body).hasToString(EVENT + "id: 2\ndata: b\n\n");
        assertThat(logged).containsOnlyOnce(EventCode.INPUT_TOO_LARGE);
    }

    @Test
    void bufferedResponseIsStreamedWhenTheNodesMemoryIsFull() {
        start(RouteKind.IDEMPOTENT, null);
        client.last().head(plainHead(200));
        client.last().body("first".getBytes());
        assertThat(response.body).hasToString("");
        Holding other = memory.open(Kind.RESPONSE_PART);
        other.hold(memory.share(Kind.RESPONSE_PART));
        assertThat(response.body).hasToString("first");
        client.last().body("second".getBytes());
        client.last().end();
        assertThat(response.body).hasToString("firstsecond");
        assertThat(response.ended).isTrue();
        assertThat(memory.held(Kind.RESPONSE_PART)).isEqualTo(other.bytes());
    }

    @Test
    void memoryIsGivenBackWhenTheCallerDisconnects() {
        RequestFlow flow = start(RouteKind.STREAMING, RESIDENT_ADAPTER);
        client.last().head(head(200, false));
        client.last().body(filled(CHUNK_BYTES));
        assertThat(memory.held(Kind.RESPONSE_PART)).isPositive();
        flow.callerDisconnected();
        assertThat(memory.held(Kind.RESPONSE_PART)).isZero();
    }

    @Test
    void streamIsBrokenOffWhenEachAttemptSendsAnEventWithoutEnd() {
        start(RouteKind.STREAMING, RESIDENT_ADAPTER);
        sendEventWithoutEnd();
        sendEventWithoutEnd();
        assertThat(response.aborted).isTrue();
        assertThat(response.body).hasToString(EVENT + EVENT);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 16_384, 2_000_000})
    void eventWithinTheBoundIsPassedOnWhole(int chunkBytes) {
        start(RouteKind.STREAMING, RESIDENT_ADAPTER);
        client.last().head(head(200, false));
        String event = "id: 1\ndata: " + new String(filled(1_000_000)) + "\n\n";
        byte[] all = event.getBytes();
        for (int i = 0; i < all.length; i += chunkBytes) {
            client.last().body(Arrays.copyOfRange(all, i, Math.min(all.length, i + chunkBytes)));
        }
        client.last().end();
        assertThat(response.body.toString().equals(event)).isTrue();
        assertThat(response.ended).isTrue();
    }
}
