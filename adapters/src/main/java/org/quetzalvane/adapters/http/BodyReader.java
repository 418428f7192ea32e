package org.quetzalvane.adapters.http;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;

import org.eclipse.jetty.io.Content;
import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.exc.QuetzalvaneException;

/**
 * Reads a request body without blocking, up to a limit in bytes.
 *
 * <p>The future fails with {@link ResultCode#REQUEST_TOO_LARGE} if the body exceeds the limit and with {@link
 * ResultCode#REQUEST_TOO_SLOW} if the connection times out or closes before the end of the body. Each instance reads
 * one body.
 */
final class BodyReader implements Runnable {
    private final Content.Source source;
    private final int limitBytes;
    private final ByteArrayOutputStream buffer = new ByteArrayOutputStream();
    private final CompletableFuture<byte[]> result = new CompletableFuture<>();

    private BodyReader(Content.Source source, int limitBytes) {
        this.source = source;
        this.limitBytes = limitBytes;
    }

    static CompletableFuture<byte[]> read(Content.Source source, int limitBytes) {
        BodyReader reader = new BodyReader(source, limitBytes);
        reader.run();
        return reader.result;
    }

    @Override
    public void run() {
        while (true) {
            Content.Chunk chunk = source.read();
            if (chunk == null) {
                source.demand(this);
                return;
            }
            if (Content.Chunk.isFailure(chunk)) {
                fail(ResultCode.REQUEST_TOO_SLOW, "connection timed out or closed before the end of the request body");
                return;
            }
            append(chunk.getByteBuffer());
            boolean last = chunk.isLast();
            chunk.release();
            if (buffer.size() > limitBytes) {
                fail(ResultCode.REQUEST_TOO_LARGE, "request body exceeds " + limitBytes + " bytes");
                return;
            }
            if (last) {
                result.complete(buffer.toByteArray());
                return;
            }
        }
    }

    private void append(ByteBuffer bytes) {
        byte[] copy = new byte[bytes.remaining()];
        bytes.get(copy);
        buffer.write(copy, 0, copy.length);
    }

    private void fail(ResultCode code, String message) {
        result.completeExceptionally(new QuetzalvaneException(code, message));
    }
}
