package org.quetzalvane.transport;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * One request that was read whole, and its answer. The answer is given once; calls after the client has left do
 * nothing.
 *
 * <p>Confined to the event loop.
 */
public final class ServerExchange {
    private final ServerConnection connection;
    private final ChannelHandlerContext ctx;
    private final HttpRequest head;
    private final byte[] body;
    private Runnable whenGone = () -> {};
    private Runnable whenWritable = () -> {};
    private boolean over;
    private boolean closes;

    ServerExchange(ServerConnection connection, ChannelHandlerContext ctx, HttpRequest head, byte[] body) {
        this.connection = connection;
        this.ctx = ctx;
        this.head = head;
        this.body = body;
    }

    public HttpRequest head() {
        return head;
    }

    public byte[] body() {
        return body;
    }

    /** Calls back when the client leaves before the answer is whole. */
    public void onGone(Runnable callback) {
        whenGone = callback;
    }

    /** Calls back when the client reads again after a part was not taken up. */
    public void onWritable(Runnable callback) {
        whenWritable = callback;
    }

    /** Answers whole. */
    public void answer(int status, HttpHeaders headers, byte[] content) {
        if (over) {
            return;
        }
        DefaultFullHttpResponse r = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(content));
        r.headers().add(headers);
        boolean bodiless = head.method().equals(HttpMethod.HEAD) || status == 204 || status == 304;
        if (!bodiless) {
            HttpUtil.setContentLength(r, content.length);
        }
        decideClosing(r);
        finish(ctx.writeAndFlush(r));
    }

    /** Begins an answer whose body follows; a negative length sends it in chunks. */
    public void begin(int status, HttpHeaders headers, long length) {
        if (over) {
            return;
        }
        DefaultHttpResponse r = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
        r.headers().add(headers);
        if (length >= 0) {
            HttpUtil.setContentLength(r, length);
        } else {
            HttpUtil.setTransferEncodingChunked(r, true);
        }
        decideClosing(r);
        ctx.writeAndFlush(r);
    }

    /** Sends a part of the body; false when the client does not keep up. */
    public boolean part(byte[] bytes) {
        if (over) {
            return true;
        }
        ctx.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
        return ctx.channel().isWritable();
    }

    /** Ends an answer that was begun and is whole. */
    public void end() {
        if (!over) {
            finish(ctx.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
        }
    }

    /** Breaks the answer off so that the client sees that it is not whole. */
    public void abort() {
        if (!over) {
            over = true;
            ctx.close();
        }
    }

    private void decideClosing(HttpResponse r) {
        closes = connection.closesAfterAnswer(head) || connection.mustCloseAfterAnswer();
        HttpUtil.setKeepAlive(r, !closes);
    }

    private void finish(ChannelFuture last) {
        over = true;
        boolean close = closes || connection.mustCloseAfterAnswer();
        if (close) {
            last.addListener(ChannelFutureListener.CLOSE);
        }
        connection.answered(close);
    }

    void gone() {
        if (!over) {
            over = true;
            whenGone.run();
        }
    }

    void writable() {
        whenWritable.run();
    }
}
