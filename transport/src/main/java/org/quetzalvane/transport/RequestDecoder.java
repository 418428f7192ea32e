package org.quetzalvane.transport;

import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;

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

    /** Status of the response to a request that could not be decoded. */
    static HttpResponseStatus statusOf(Throwable cause) {
        if (cause instanceof HeadRefusedException) {
            return HttpResponseStatus.SERVICE_UNAVAILABLE;
        }
        if (cause instanceof TooLongHttpLineException) {
            return HttpResponseStatus.REQUEST_URI_TOO_LONG;
        }
        if (cause instanceof TooLongHttpHeaderException || cause instanceof TooLongFrameException) {
            return HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE;
        }
        return HttpResponseStatus.BAD_REQUEST;
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("request has both Content-Length and chunked Transfer-Encoding");
    }
}
