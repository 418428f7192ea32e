package org.quetzalvane.transport;

import java.time.Duration;
import java.util.function.Consumer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.quetzalvane.core.time.Scheduler;

/**
 * One client connection and the call on it.
 *
 * <p>It is kept for another call only after a whole answer to a whole request. Bytes that come while no call is under
 * way close it; an answer that belongs to an earlier call is passed over. Confined to the event loop.
 */
final class HttpConnection extends ChannelInboundHandlerAdapter {
    /** Kept back from the idle time that a server names, ms, for the way of a request. */
    private static final long IDLE_MARGIN_MS = 300;

    private final Loop loop;
    private final long usualIdleMs;
    private final Consumer<HttpConnection> whenIdle;
    private final Decoder decoder = new Decoder();
    private ChannelHandlerContext ctx;
    private HttpReply reply;
    private ChannelFuture written;
    private boolean passingOver;
    private boolean keep;
    private long idleSince;
    private long idleLimitMs;
    private Scheduler.Timer idleTimer;

    HttpConnection(Loop loop, long usualIdleMs, Consumer<HttpConnection> whenIdle) {
        this.loop = loop;
        this.usualIdleMs = usualIdleMs;
        this.whenIdle = whenIdle;
    }

    HttpResponseDecoder decoder() {
        return decoder;
    }

    boolean usable() {
        return reply == null && ctx != null && ctx.channel().isActive();
    }

    long idleMs() {
        return (loop.nanoTime() - idleSince) / 1_000_000;
    }

    void send(FullHttpRequest request, HttpReply r) {
        stopIdleTimer();
        reply = r;
        passingOver = false;
        keep = false;
        decoder.head = request.method().equals(HttpMethod.HEAD);
        written = ctx.writeAndFlush(request);
        written.addListener(f -> {
            if (!f.isSuccess()) {
                fail("write failed: " + f.cause());
            }
        });
    }

    /** Gives an unused connection back. */
    void release() {
        idleLimitMs = usualIdleMs;
        becomeIdle();
    }

    void cancel(HttpReply r) {
        if (reply == r) {
            reply = null;
            close();
        }
    }

    void reading(HttpReply r, boolean on) {
        if (reply == r) {
            ctx.channel().config().setAutoRead(on);
        }
    }

    void close() {
        stopIdleTimer();
        if (ctx != null) {
            ctx.close();
        }
    }

    @Override
    public void handlerAdded(ChannelHandlerContext c) {
        ctx = c;
    }

    @Override
    public void channelRead(ChannelHandlerContext c, Object msg) {
        try {
            read((HttpObject) msg);
        } finally {
            ReferenceCountUtil.release(msg);
        }
    }

    private void read(HttpObject o) {
        if (o.decoderResult().isFailure()) {
            fail("not an answer: " + o.decoderResult().cause());
            return;
        }
        if (reply == null) {
            close();
            return;
        }
        if (o instanceof HttpResponse) {
            readHead((HttpResponse) o);
        }
        if (o instanceof HttpContent && reply != null) {
            readBody((HttpContent) o);
        }
    }

    private void readHead(HttpResponse head) {
        boolean interim = head.status().code() < 200;
        passingOver = interim || !reply.belongs(head);
        if (passingOver) {
            return;
        }
        keep = HttpUtil.isKeepAlive(head) && framed(head);
        idleLimitMs = idleLimit(head);
        reply.head(head);
    }

    private void readBody(HttpContent part) {
        ByteBuf b = part.content();
        if (!passingOver && b.isReadable()) {
            reply.body(ByteBufUtil.getBytes(b));
        }
        if (reply != null && part instanceof LastHttpContent) {
            if (passingOver) {
                passingOver = false;
                return;
            }
            ended();
        }
    }

    private void ended() {
        HttpReply r = reply;
        reply = null;
        if (keep && written.isSuccess() && ctx.channel().isActive()) {
            ctx.channel().config().setAutoRead(true);
            becomeIdle();
        } else {
            close();
        }
        r.end();
    }

    private void becomeIdle() {
        idleSince = loop.nanoTime();
        idleTimer = loop.schedule(Duration.ofMillis(idleLimitMs), () -> {
            if (reply == null) {
                close();
            }
        });
        whenIdle.accept(this);
    }

    private void stopIdleTimer() {
        if (idleTimer != null) {
            idleTimer.cancel();
            idleTimer = null;
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext c) {
        fail("connection closed");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext c, Throwable cause) {
        loop.failed(cause);
        fail(String.valueOf(cause.getMessage()));
    }

    private void fail(String cause) {
        HttpReply r = reply;
        reply = null;
        close();
        if (r != null) {
            r.failed(false, cause);
        }
    }

    private static boolean framed(HttpMessage m) {
        return HttpUtil.isContentLengthSet(m)
                || HttpUtil.isTransferEncodingChunked(m)
                || m instanceof HttpResponse && ((HttpResponse) m).status().code() == 204;
    }

    private long idleLimit(HttpResponse head) {
        String v = head.headers().get("Keep-Alive");
        if (v == null) {
            return usualIdleMs;
        }
        int at = v.indexOf("timeout=");
        if (at < 0) {
            return usualIdleMs;
        }
        String digits = v.substring(at + "timeout=".length()).split("[^0-9]", 2)[0];
        if (digits.isEmpty() || digits.length() > 6) {
            return usualIdleMs;
        }
        return Math.min(usualIdleMs, Math.max(0, Long.parseLong(digits) * 1_000 - IDLE_MARGIN_MS));
    }

    /** Knows that an answer to HEAD has no body. */
    private static final class Decoder extends HttpResponseDecoder {
        private boolean head;

        @Override
        protected boolean isContentAlwaysEmpty(HttpMessage msg) {
            return head && !msg.headers().contains(HttpHeaderNames.UPGRADE) || super.isContentAlwaysEmpty(msg);
        }
    }
}
