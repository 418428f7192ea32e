package org.quetzalvane.adapters.http;

import java.nio.ByteBuffer;

import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.request.Refusal;

/**
 * Writes the errors that Jetty detects outside of routes as an {@link ErrorBody}.
 *
 * <p>Status 503, which the graceful handler sends while the server stops, is reported as {@link ResultCode#DRAINING},
 * any other status from 500 as {@link ResultCode#INTERNAL}, and a status below 500 as
 * {@link ResultCode#MALFORMED_REQUEST}. Stateless and thread-safe.
 */
final class JsonErrorHandler implements Request.Handler {
    private static final long RETRY_AFTER_MILLIS = 500;

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        byte[] body = Json.bytes(errorBody(response.getStatus()));
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        response.getHeaders().put(HttpHeader.CONTENT_LENGTH, body.length);
        response.write(true, ByteBuffer.wrap(body), callback);
        return true;
    }

    private static ErrorBody errorBody(int status) {
        String reason = HttpStatus.getMessage(status);
        if (status == HttpStatus.SERVICE_UNAVAILABLE_503) {
            return ErrorBody.of(Refusal.retryable(ResultCode.DRAINING, "server is stopping", RETRY_AFTER_MILLIS));
        }
        return ErrorBody.of(status < 500 ? ResultCode.MALFORMED_REQUEST : ResultCode.INTERNAL, reason);
    }
}
