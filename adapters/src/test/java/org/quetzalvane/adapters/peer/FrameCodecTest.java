package org.quetzalvane.adapters.peer;

import java.util.Map;

import org.junit.jupiter.api.Test;
import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.exc.QuetzalvaneException;
import org.quetzalvane.core.peer.PeerMessage;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

/** Frames of this and of newer program versions. */
class FrameCodecTest {

    @Test
    void ignoresUnknownFields() {
        Map<String, Object> message = Map.of("t", "rw", "from", 7, "added", "later");
        Map<String, Object> frame = Map.of("id", 1, "answer", false, "last", true, "message", message, "more", 2);
        Frame read = FrameCodec.decode(FrameCodec.encode(frame), Frame.class);
        assertThat(read.message()).isEqualTo(new PeerMessage.RecordsRequest(7));
    }

    @Test
    void decodesUnknownMessageTypesAsUnknown() {
        Map<String, Object> frame = Map.of("id", 1, "answer", false, "last", true, "message", Map.of("t", "newer"));
        assertThat(FrameCodec.decode(FrameCodec.encode(frame), Frame.class).message())
                .isEqualTo(new PeerMessage.Unknown());
    }

    @Test
    void rejectsUndecodableFrame() {
        QuetzalvaneException e = catchThrowableOfType(
                QuetzalvaneException.class, () -> FrameCodec.decode(new byte[] {1, 2, 3}, Frame.class));
        assertThat(e.code()).isEqualTo(ResultCode.FRAME_INVALID);
    }
}
