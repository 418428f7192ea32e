package org.quetzalvane.adapters.peer;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.msgpack.jackson.dataformat.MessagePackFactory;
import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.exc.QuetzalvaneException;

/**
 * Encodes and decodes the frames of a peer connection: a length of four bytes, then one MessagePack value.
 *
 * <p>Unknown fields are ignored and unknown message types are decoded as {@link
 * org.quetzalvane.core.peer.PeerMessage.Unknown}, so that nodes of two program versions can communicate during an
 * upgrade. A frame that exceeds the size limit, has no positive length or cannot be encoded or decoded fails with
 * {@link ResultCode#FRAME_INVALID}; a connection that receives such a frame is closed. Stateless and thread-safe.
 */
final class FrameCodec {
    static final int MAX_FRAME_BYTES = 8 << 20;
    static final int LENGTH_BYTES = 4;

    private static final ObjectMapper MAPPER = new ObjectMapper(new MessagePackFactory())
            .configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);

    private FrameCodec() {}

    static byte[] encode(Object value) {
        try {
            byte[] body = MAPPER.writeValueAsBytes(value);
            if (body.length > MAX_FRAME_BYTES) {
                throw new QuetzalvaneException(ResultCode.FRAME_INVALID, "frame too large: " + body.length + " bytes");
            }
            return body;
        } catch (IOException e) {
            throw new QuetzalvaneException(ResultCode.FRAME_INVALID, "frame cannot be encoded", e);
        }
    }

    static <T> T decode(byte[] body, Class<T> type) {
        try {
            return MAPPER.readValue(body, type);
        } catch (IOException e) {
            throw new QuetzalvaneException(ResultCode.FRAME_INVALID, "frame cannot be decoded", e);
        }
    }

    static void write(DataOutputStream out, byte[] body) throws IOException {
        out.writeInt(body.length);
        out.write(body);
        out.flush();
    }

    static byte[] read(DataInputStream in) throws IOException {
        int length = in.readInt();
        if (length <= 0 || length > MAX_FRAME_BYTES) {
            throw new QuetzalvaneException(ResultCode.FRAME_INVALID, "invalid frame length: " + length);
        }
        byte[] body = new byte[length];
        in.readFully(body);
        return body;
    }
}
