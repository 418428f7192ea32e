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
 * upgrade. Methods fail with {@link ResultCode#FRAME_INVALID} if a body is longer than {@link #MAX_BODY_BYTES}, its
 * length is not positive, or a value cannot be converted; {@link PeerConnection} closes a connection on which such a
 * frame arrives. Stateless and thread-safe.
 */
final class FrameCodec {
    static final int MAX_BODY_BYTES = 8 << 20;
    static final int LENGTH_BYTES = 4;

    private static final ObjectMapper MAPPER = new ObjectMapper(new MessagePackFactory())
            .configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);

    private FrameCodec() {}

    /** Encodes the body of a frame. */
    static byte[] encode(Object value) {
        try {
            byte[] body = MAPPER.writeValueAsBytes(value);
            if (body.length > MAX_BODY_BYTES) {
                throw new QuetzalvaneException(
                        ResultCode.FRAME_INVALID, "frame body too large: " + body.length + " bytes");
            }
            return body;
        } catch (IOException e) {
            throw new QuetzalvaneException(ResultCode.FRAME_INVALID, "frame cannot be encoded", e);
        }
    }

    /** Decodes the body of a frame. */
    static <T> T decode(byte[] body, Class<T> type) {
        try {
            return MAPPER.readValue(body, type);
        } catch (IOException e) {
            throw new QuetzalvaneException(ResultCode.FRAME_INVALID, "frame cannot be decoded", e);
        }
    }

    /** Writes a frame: the length of the body and the body. */
    static void write(DataOutputStream out, byte[] body) throws IOException {
        out.writeInt(body.length);
        out.write(body);
        out.flush();
    }

    /** Reads a frame and returns its body. */
    static byte[] read(DataInputStream in) throws IOException {
        int length = in.readInt();
        if (length <= 0 || length > MAX_BODY_BYTES) {
            throw new QuetzalvaneException(ResultCode.FRAME_INVALID, "invalid length of a frame body: " + length);
        }
        byte[] body = new byte[length];
        in.readFully(body);
        return body;
    }
}
