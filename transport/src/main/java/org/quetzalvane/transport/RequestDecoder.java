package org.quetzalvane.transport;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Request decoder that rejects a request with both a content length and chunked encoding, which could hide another
 * request in its body (request smuggling). Confined to the event loop.
 */
final class RequestDecoder extends HttpRequestDecoder {

    RequestDecoder(HttpDecoderConfig config) {
        super(config);
    }

    /** Whether bytes have been read behind the last message that was decoded. */
    boolean hasBytes() {
        return actualReadableBytes() > 0;
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("request has both Content-Length and chunked Transfer-Encoding");
    }
}
