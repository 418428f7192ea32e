package org.quetzalvane.transport;

import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import org.quetzalvane.core.time.Scheduler;

/**
 * One accepted connection: reads requests whole, hands over one at a time, closes after what cannot be read.
 *
 * <p>Confined to the event loop.
 */
final class ServerConnection extends ChannelInboundHandlerAdapter {
    /** Requests read ahead of the answer before reading stops; clients send one at a time as a rule. */
    private static final int MAX_READ_AHEAD = 8;

    private final HttpServer server;
    private final Loop loop;
    private final ServerLimits limits;
    private final Deque<ServerExchange> waiting = new ArrayDeque<>();
    private ChannelHandlerContext ctx;
    private HttpRequest reading;
    private ByteArrayOutputStream body;
    private ServerExchange current;
    private Scheduler.Timer timer;
    private boolean refused;
    private boolean started;

    ServerConnection(HttpServer server, Loop loop, ServerLimits limits) {
        this.server = server;
        this.loop = loop;
        this.limits = limits;
    }

    /** Starts the time limit of a request's headers with its first byte. */
    ChannelInboundHandlerAdapter firstByteWatch() {
        return new ChannelInboundHandlerAdapter() {
            @Override
            public void channelRead(ChannelHandlerContext c, Object msg) {
                if (!started && current == null) {
                    started = true;
                    arm(limits.headerTimeoutMs(), ServerConnection.this::headersLate);
                }
                c.fireChannelRead(msg);
            }
        };
    }

    boolean busy() {
        return current != null || !waiting.isEmpty();
    }

    void closeIfIdle() {
        if (!busy() && !started) {
            ctx.close();
        }
    }

    @Override
    public void handlerAdded(ChannelHandlerContext c) {
        ctx = c;
        arm(limits.idleTimeoutMs(), c::close);
    }

    @Override
    public void channelRead(ChannelHandlerContext c, Object msg) {
        try {
            if (!refused) {
                read((HttpObject) msg);
            }
        } finally {
            ReferenceCountUtil.release(msg);
        }
    }

    private void read(HttpObject o) {
        if (o.decoderResult().isFailure()) {
            refuse(statusOf(o.decoderResult().cause()));
            return;
        }
        if (o instanceof HttpRequest) {
            begin((HttpRequest) o);
        }
        if (o instanceof HttpContent && reading != null) {
            readBody((HttpContent) o);
        }
    }

    private void begin(HttpRequest r) {
        stopTimer();
        boolean proper = r.protocolVersion().equals(HttpVersion.HTTP_1_1)
                && r.headers().getAll(HttpHeaderNames.HOST).size() == 1;
        if (!proper) {
            refuse(HttpResponseStatus.BAD_REQUEST);
            return;
        }
        if (HttpUtil.getContentLength(r, 0L) > limits.bodyBytes()) {
            refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            return;
        }
        reading = r;
        body = new ByteArrayOutputStream();
        arm(limits.idleTimeoutMs(), () -> refuse(HttpResponseStatus.REQUEST_TIMEOUT));
        if (HttpUtil.is100ContinueExpected(r)) {
            ctx.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    private void readBody(HttpContent part) {
        body.writeBytes(ByteBufUtil.getBytes(part.content()));
        if (body.size() > limits.bodyBytes()) {
            refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            return;
        }
        if (part instanceof LastHttpContent) {
            stopTimer();
            started = false;
            waiting.add(new ServerExchange(this, ctx, reading, body.toByteArray()));
            reading = null;
            body = null;
            if (waiting.size() > MAX_READ_AHEAD) {
                ctx.channel().config().setAutoRead(false);
            }
            handleNext();
        }
    }

    private void handleNext() {
        if (current != null || waiting.isEmpty()) {
            return;
        }
        current = waiting.poll();
        server.handle(current);
    }

    boolean closesAfterAnswer(HttpRequest r) {
        return server.draining() || !HttpUtil.isKeepAlive(r);
    }

    /** The current exchange was answered whole. */
    void answered(boolean close) {
        current = null;
        if (close) {
            return;
        }
        ctx.channel().config().setAutoRead(true);
        arm(limits.idleTimeoutMs(), ctx::close);
        handleNext();
    }

    private void headersLate() {
        if (reading == null) {
            refuse(HttpResponseStatus.REQUEST_TIMEOUT);
        }
    }

    /** Answers what cannot be read and closes, after the answers that are due before it. */
    private void refuse(HttpResponseStatus status) {
        refused = true;
        stopTimer();
        if (busy()) {
            waiting.clear();
            return;
        }
        DefaultFullHttpResponse r = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
        HttpUtil.setContentLength(r, 0);
        HttpUtil.setKeepAlive(r, false);
        ctx.writeAndFlush(r).addListener(ChannelFutureListener.CLOSE);
    }

    boolean mustCloseAfterAnswer() {
        return refused;
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext c) {
        if (c.channel().isWritable() && current != null) {
            current.writable();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext c) {
        stopTimer();
        server.closed(this);
        waiting.clear();
        if (current != null) {
            ServerExchange e = current;
            current = null;
            e.gone();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext c, Throwable cause) {
        // After a reset by the client the channel's end reports it to the exchange.
        loop.failed(cause);
        c.close();
    }

    private void arm(long ms, Runnable task) {
        stopTimer();
        timer = loop.schedule(Duration.ofMillis(ms), () -> {
            if (!busy()) {
                task.run();
            }
        });
    }

    private void stopTimer() {
        if (timer != null) {
            timer.cancel();
            timer = null;
        }
    }

    private static HttpResponseStatus statusOf(Throwable cause) {
        if (cause instanceof TooLongHttpLineException) {
            return HttpResponseStatus.REQUEST_URI_TOO_LONG;
        }
        if (cause instanceof TooLongHttpHeaderException || cause instanceof TooLongFrameException) {
            return HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE;
        }
        return HttpResponseStatus.BAD_REQUEST;
    }
}
