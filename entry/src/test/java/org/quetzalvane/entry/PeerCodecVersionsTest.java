package org.quetzalvane.entry;

import java.io.IOException;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.value.Value;
import org.msgpack.value.ValueFactory;
import org.quetzalvane.core.choice.EndpointLoads;
import org.quetzalvane.core.residency.EngineResidency;
import org.quetzalvane.core.routes.AdapterRef;
import org.quetzalvane.core.team.NodeInfo;
import org.quetzalvane.core.team.PeerMessage;

import static org.assertj.core.api.Assertions.assertThat;

/** Statuses and views of nodes of an older and of a newer version, as they run side by side during an upgrade. */
class PeerCodecVersionsTest {
    private static final NodeInfo NODE = new NodeInfo("10.0.0.1:1", "10.0.0.1:2", "a", 100, true, true, false);
    private static final AdapterRef ADAPTER = new AdapterRef("m", "a1");
    /** Components of the messages before the numbers of statuses and views were appended. */
    private static final int OLDER_STATUS_COMPONENTS = 10;

    private static final int OLDER_VIEW_COMPONENTS = 8;

    private final PeerCodec codec = new PeerCodec();

    private static PeerMessage.Status status(long number, long viewNumber) {
        return new PeerMessage.Status(
                NODE,
                42,
                List.of(1, 300),
                List.of(7),
                Map.of("e1", new EndpointLoads.Load(3, 70_000), "e2", new EndpointLoads.Load(1, -5)),
                Map.of("e1", List.of(ADAPTER, ADAPTER)),
                Map.of("e1", new EngineResidency(1L << 41, 9, Map.of("m", Map.of("a1", 1, "a2", 70_000)))),
                List.of(NODE),
                List.of("10.0.0.2:1"),
                6,
                number,
                viewNumber);
    }

    private static PeerMessage.View view(
            Map<Integer, String> owners, Map<String, Long> included, long number, boolean complete) {
        return new PeerMessage.View(
                "10.0.0.1:1",
                List.of(NODE),
                owners,
                Map.of("e1", new EndpointLoads.Load(3, 70_000)),
                Map.of("e1", 2),
                List.of(ADAPTER),
                Map.of("e1", new EngineResidency(5, 9, Map.of())),
                Map.of("endpoints", new PeerMessage.TopicPosition(1L << 40, 300)),
                included,
                number,
                complete);
    }

    /** An older node states only whether the adapter is loaded. */
    @Test
    void replyToALoadRequestOfAnOlderNodeNamesAnEngineInReach() throws IOException {
        PeerMessage.AdapterLoadReply reply = new PeerMessage.AdapterLoadReply("10.0.0.1:1", 7, false, true);
        byte[] frame = codec.encode(reply);
        assertThat(codec.decode(frame)).isEqualTo(reply);
        assertThat(codec.decode(resized(frame, 3)))
                .isEqualTo(new PeerMessage.AdapterLoadReply("10.0.0.1:1", 7, false, false));
    }

    @Test
    void statusAndViewAreDecodedAsTheyWereEncoded() throws IOException {
        PeerMessage.Status s = status(1L << 41, (1L << 41) + 3);
        assertThat(codec.decode(codec.encode(s))).isEqualTo(s);
        PeerMessage.View v = view(Map.of(0, "10.0.0.1:1", 47, "10.0.0.2:1"), Map.of("10.0.0.3:1", 1L << 41), 8, true);
        assertThat(codec.decode(codec.encode(v))).isEqualTo(v);
        PeerMessage.View changes = view(null, Map.of(), 9, false);
        assertThat(codec.decode(codec.encode(changes))).isEqualTo(changes);
    }

    @Test
    void messagesOfAnOlderNodeAreDecodedWithoutNumbers() throws IOException {
        byte[] olderStatus = resized(codec.encode(status(5, 6)), OLDER_STATUS_COMPONENTS);
        assertThat(codec.decode(olderStatus)).isEqualTo(status(0, 0));
        Map<Integer, String> owners = Map.of(3, "10.0.0.1:1");
        byte[] olderView = resized(codec.encode(view(owners, Map.of("x", 1L), 5, true)), OLDER_VIEW_COMPONENTS);
        assertThat(codec.decode(olderView)).isEqualTo(view(owners, null, 0, false));
    }

    @Test
    void componentsThatANewerNodeAppendsAreIgnored() throws IOException {
        PeerMessage.Status s = status(5, 6);
        assertThat(codec.decode(resized(codec.encode(s), 20))).isEqualTo(s);
        PeerMessage.View v = view(Map.of(3, "10.0.0.1:1"), Map.of("x", 1L), 5, true);
        assertThat(codec.decode(resized(codec.encode(v), 20))).isEqualTo(v);
    }

    /** The frame with the first components only, or with further ones. */
    private static byte[] resized(byte[] frame, int components) throws IOException {
        try (MessageUnpacker in = MessagePack.newDefaultUnpacker(frame, 1, frame.length - 1);
                MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
            List<Value> values = in.unpackValue().asArrayValue().list();
            out.packArrayHeader(components);
            for (int i = 0; i < components; i++) {
                Value added = ValueFactory.newArray(ValueFactory.newString("added"), ValueFactory.newInteger(i));
                out.packValue(i < values.size() ? values.get(i) : added);
            }
            byte[] body = out.toByteArray();
            byte[] all = new byte[body.length + 1];
            all[0] = frame[0];
            System.arraycopy(body, 0, all, 1, body.length);
            return all;
        }
    }
}
