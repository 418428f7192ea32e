package org.quetzalvane.transport;

import java.util.Locale;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import org.quetzalvane.core.limit.RetryAfter;

/** Last response on a connection, to a request that cannot be read. Stateless. */
final class RejectionResponse {
    /** Retry time of requests whose header lines cannot be held, ms. */
    private static final long REFUSED_RETRY_AFTER_MS = 1_000;

    private RejectionResponse() {}

    static FullHttpResponse of(HttpResponseStatus status, Channel connection) {
        FullHttpResponse r = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
        HttpUtil.setContentLength(r, 0);
        HttpUtil.setKeepAlive(r, false);
        if (status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)) {
            long ms = RetryAfter.spread(REFUSED_RETRY_AFTER_MS, connection.id().asShortText());
            r.headers().set(HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", ms / 1_000.0));
        }
        return r;
    }
}
