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
 * Frames on a peer connection: a length of four bytes, then one MessagePack value.
 *
 * <p>Fields and message types that this program version does not know are passed over, so that nodes of two
 * versions can talk while they are replaced. A frame that is longer than the limit, has no length or cannot be decoded
 * fails with {@link ResultCode#FRAME_INVALID}; the connection is closed then. Stateless and thread-safe.
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
                throw new QuetzalvaneException(ResultCode.FRAME_INVALID, "a frame of " + body.length + " bytes");
            }
            return body;
        } catch (IOException e) {
            throw new QuetzalvaneException(ResultCode.FRAME_INVALID, "the frame cannot be encoded", e);
        }
    }

    static <T> T decode(byte[] body, Class<T> type) {
        try {
            return MAPPER.readValue(body, type);
        } catch (IOException e) {
            throw new QuetzalvaneException(ResultCode.FRAME_INVALID, "the frame cannot be decoded", e);
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
            throw new QuetzalvaneException(ResultCode.FRAME_INVALID, "a frame length of " + length);
        }
        byte[] body = new byte[length];
        in.readFully(body);
        return body;
    }
}
