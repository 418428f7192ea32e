package org.quetzalvane.transport;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
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
import org.quetzalvane.core.limit.MemoryAccount;

/**
 * A complete request, or one whose body was refused, and its response. The response is sent once; calls after the
 * client has disconnected have no effect.
 *
 * <p>Confined to the event loop.
 */
public final class ServerExchange {
    private final ServerConnection connection;
    private final ChannelHandlerContext ctx;
    private final HttpRequest head;
    private final MemoryAccount.Holding heldHead;
    private final RequestBody heldBody;
    private final byte[] body;
    private final boolean complete;
    private Runnable onDisconnect = () -> {};
    private Runnable onWritable = () -> {};
    private ChannelFuture begun;
    private boolean finished;
    private boolean closeAfterResponse;

    ServerExchange(
            ServerConnection connection,
            ChannelHandlerContext ctx,
            HttpRequest head,
            MemoryAccount.Holding heldHead,
            RequestBody body,
            boolean complete) {
        this.connection = connection;
        this.ctx = ctx;
        this.head = head;
        this.heldHead = heldHead;
        this.heldBody = body;
        this.body = body.complete();
        this.complete = complete;
    }

    public HttpRequest head() {
        return head;
    }

    public byte[] body() {
        return body;
    }

    /** Whether the request is refused, because the memory of the node cannot hold its body; the body is then empty. */
    public boolean bodyRefused() {
        return !complete;
    }

    /** Gives the memory of the request back to the account, once nothing uses it any more. */
    void release() {
        heldHead.close();
        heldBody.close();
    }

    /** Sets the callback for a client that disconnects before the response is complete. */
    public void onDisconnect(Runnable callback) {
        onDisconnect = callback;
    }

    /** Sets the callback that runs when the connection becomes writable again. */
    public void onWritable(Runnable callback) {
        onWritable = callback;
    }

    /**
     * Whether the client still waits for the response. Reads the connection first, so that a close is seen that the
     * event loop has not read yet; the callback for it runs within this call.
     */
    public boolean clientPresent() {
        return !finished && connection.clientPresent() && !finished;
    }

    /** Sends a complete response. */
    public void respond(int status, HttpHeaders headers, byte[] content) {
        if (finished) {
            return;
        }
        DefaultFullHttpResponse r = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(content));
        r.headers().add(headers);
        boolean withoutBody = answersHead() || status == 204 || status == 304;
        if (!withoutBody) {
            HttpUtil.setContentLength(r, content.length);
        }
        setKeepAlive(r);
        finish(ctx.writeAndFlush(r));
    }

    /**
     * Starts a response whose body follows; with a negative length the body is sent in chunks. That to a HEAD request
     * is sent without a body.
     */
    public void begin(int status, HttpHeaders headers, long length) {
        if (finished) {
            return;
        }
        HttpResponseStatus s = HttpResponseStatus.valueOf(status);
        HttpResponse r = answersHead()
                ? new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, s)
                : new DefaultHttpResponse(HttpVersion.HTTP_1_1, s);
        r.headers().add(headers);
        if (length >= 0) {
            HttpUtil.setContentLength(r, length);
        } else if (!answersHead()) {
            HttpUtil.setTransferEncodingChunked(r, true);
        }
        setKeepAlive(r);
        begun = ctx.writeAndFlush(r);
    }

    /**
     * Sends a chunk of the body; returns false if the client does not read fast enough. The chunk is queued in any
     * case.
     */
    public boolean write(byte[] bytes) {
        if (finished || answersHead()) {
            return true;
        }
        ctx.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
        return ctx.channel().isWritable();
    }

    /** Completes a response that was started. */
    public void end() {
        if (!finished) {
            finish(answersHead() ? begun : ctx.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
        }
    }

    /** Closes the connection, so that the client sees that the response is incomplete. */
    public void abort() {
        if (!finished) {
            finished = true;
            ctx.close();
        }
    }

    /** Whether the response has no body and no end that is written, because it is one to a HEAD request. */
    private boolean answersHead() {
        return head.method().equals(HttpMethod.HEAD);
    }

    private void setKeepAlive(HttpResponse r) {
        closeAfterResponse = connection.closesAfterResponse(head);
        HttpUtil.setKeepAlive(r, !closeAfterResponse);
    }

    private void finish(ChannelFuture last) {
        finished = true;
        connection.responseCompleted(closeAfterResponse, last);
    }

    void disconnected() {
        if (!finished) {
            finished = true;
            onDisconnect.run();
        }
    }

    void writable() {
        onWritable.run();
    }
}
