package org.quetzalvane.transport;

import java.time.Duration;
import java.util.function.Consumer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
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
 * One client connection and the call in progress on it.
 *
 * <p>The connection returns to the pool only after a complete response to a request that was written completely. It is
 * closed when data arrives while no call is in progress. A response that the listener does not match, such as a second
 * one to an earlier call, is discarded, up to a bound in bytes.
 *
 * <p>Up to the end of the head that is accepted as that of the call, every status line among the bytes is the beginning
 * of a head that was read. A call whose own response was swallowed by another one, which broke off in its head or body,
 * therefore fails: the status line of its own response is within something else. Confined to the event loop.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter {
    /** Subtracted from the idle timeout that a server states, ms, to allow for the network delay of a request. */
    private static final long IDLE_MARGIN_MS = 300;

    /**
     * Bytes that may arrive during a call without a head or a body for its listener: interim responses, and a late
     * response to an earlier request. They are not stored.
     */
    private static final long MAX_BYTES_WITHOUT_PROGRESS = 2 * 1024 * 1024;

    private final NettyEventLoop loop;
    private final long defaultIdleTimeoutMs;
    private final Consumer<ClientConnection> onIdle;
    private final ClosedListener onClosed;
    private final Consumer<String> onForeign;
    private final ResponseDecoder decoder = new ResponseDecoder(this::countBytes, this::afterRead);
    private ChannelHandlerContext ctx;
    private HttpResponseListener listener;
    private ChannelFuture written;
    /** Whether no response was complete before that of the present call. */
    private boolean firstCall = true;

    private final long openedNanos;
    /** Whether bytes arrived that are no part of the response to the present call. */
    private boolean foreign;

    private boolean discarding;
    /** Whether the bytes that arrived last may be part of the head of the response to the present call. */
    private boolean partOfHead;

    /** Whether any byte of that head was seen. */
    private boolean headStarted;

    private long bytesWithoutProgress;
    private boolean keepAlive;
    private long idleSince;
    private long idleTimeoutMs;
    private Scheduler.Timer idleTimer;

    /** Receives the end of the connection. */
    @FunctionalInterface
    interface ClosedListener {
        /**
         * The connection broke, by a reset or within a call; or else it is closed, which is also reported after it
         * broke.
         */
        void closed(boolean broken);
    }

    ClientConnection(
            NettyEventLoop loop,
            long defaultIdleTimeoutMs,
            Consumer<ClientConnection> onIdle,
            ClosedListener onClosed,
            Consumer<String> onForeign) {
        this.loop = loop;
        this.defaultIdleTimeoutMs = defaultIdleTimeoutMs;
        this.onIdle = onIdle;
        this.onClosed = onClosed;
        this.onForeign = onForeign;
        this.openedNanos = loop.nanoTime();
    }

    HttpResponseDecoder decoder() {
        return decoder;
    }

    boolean isIdle() {
        return listener == null && ctx != null && ctx.channel().isActive();
    }

    long openedNanos() {
        return openedNanos;
    }

    long idleMs() {
        return (loop.nanoTime() - idleSince) / 1_000_000;
    }

    void send(FullHttpRequest request, HttpResponseListener r) {
        stopIdleTimer();
        listener = r;
        discarding = false;
        partOfHead = false;
        headStarted = false;
        bytesWithoutProgress = 0;
        keepAlive = false;
        decoder.startCall(request.method().equals(HttpMethod.HEAD));
        written = ctx.writeAndFlush(request);
        written.addListener(f -> {
            if (!f.isSuccess()) {
                fail("write failed: " + f.cause());
            }
        });
    }

    /** Adds this connection to the pool of idle connections without having sent a request on it. */
    void returnUnused() {
        idleTimeoutMs = defaultIdleTimeoutMs;
        startIdle();
    }

    void cancel(HttpResponseListener r) {
        if (listener == r) {
            listener = null;
            close();
        }
    }

    void setReading(HttpResponseListener r, boolean on) {
        if (listener == r) {
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
            if (msg instanceof HttpObject) {
                handle((HttpObject) msg);
            } else {
                fail("bytes after a switch of protocols");
            }
        } finally {
            ReferenceCountUtil.release(msg);
        }
    }

    private void handle(HttpObject o) {
        if (o.decoderResult().isFailure()) {
            Throwable cause = o.decoderResult().cause();
            if (cause instanceof TooLongFrameException) {
                reportTooLarge("head, chunk line or trailers");
            } else {
                reportForeign("invalid HTTP response");
            }
            fail("invalid HTTP response: " + cause);
            return;
        }
        if (listener == null) {
            reportForeign("bytes after a response");
            close();
            return;
        }
        if (!decoder.isInOrder(o)) {
            reportForeign("status line within another response");
            fail("status line within another response");
            return;
        }
        if (o instanceof HttpResponse) {
            handleHead((HttpResponse) o);
        }
        if (o instanceof HttpContent && listener != null) {
            handleBody((HttpContent) o);
        }
    }

    private void handleHead(HttpResponse head) {
        partOfHead = false;
        boolean interim = head.status().code() < 200;
        discarding = interim || !listener.matches(head, firstCall);
        if (discarding) {
            if (!interim) {
                reportForeign("response to another call");
            }
            return;
        }
        headStarted = true;
        decoder.acceptHead();
        bytesWithoutProgress = 0;
        keepAlive = HttpUtil.isKeepAlive(head) && isDelimited(head);
        idleTimeoutMs = idleTimeout(head);
        listener.onHead(head);
    }

    private void handleBody(HttpContent chunk) {
        ByteBuf b = chunk.content();
        if (!discarding && b.isReadable()) {
            bytesWithoutProgress = 0;
            listener.onBody(ByteBufUtil.getBytes(b));
        }
        if (listener != null && chunk instanceof LastHttpContent) {
            if (discarding) {
                discarding = false;
            } else if (endedByClosing()) {
                fail("event loop closed");
            } else {
                complete();
            }
        }
    }

    /** Whether the body ended with the connection, which this process closes with its event loop. */
    private boolean endedByClosing() {
        return loop.isClosing() && !ctx.channel().isActive();
    }

    private void complete() {
        HttpResponseListener r = listener;
        listener = null;
        firstCall = false;
        boolean moreBytes = decoder.hasBytes();
        if (moreBytes) {
            reportForeign("bytes after a response");
        }
        if (keepAlive
                && !moreBytes
                && !foreign
                && written.isSuccess()
                && ctx.channel().isActive()) {
            ctx.channel().config().setAutoRead(true);
            startIdle();
        } else {
            close();
        }
        r.onComplete();
    }

    private void startIdle() {
        idleSince = loop.nanoTime();
        idleTimer = loop.schedule(Duration.ofMillis(idleTimeoutMs), () -> {
            if (listener == null) {
                close();
            }
        });
        onIdle.accept(this);
    }

    private void stopIdleTimer() {
        if (idleTimer != null) {
            idleTimer.cancel();
            idleTimer = null;
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext c) {
        if (listener != null) {
            onClosed.closed(true);
        }
        onClosed.closed(false);
        fail("connection closed");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext c, Throwable cause) {
        loop.reportFailure(cause);
        onClosed.closed(true);
        fail(String.valueOf(cause.getMessage()));
    }

    private void countBytes(int arrived) {
        bytesWithoutProgress += arrived;
        partOfHead = arrived > 0 && !discarding;
    }

    private void afterRead() {
        if (listener == null && decoder.hasBytes()) {
            reportForeign("bytes after a response");
            close();
        }
        if (listener != null && partOfHead && !headStarted) {
            headStarted = true;
            listener.onPartOfHead();
        }
        failIfWithoutProgress();
    }

    private void failIfWithoutProgress() {
        if (listener != null && bytesWithoutProgress > MAX_BYTES_WITHOUT_PROGRESS) {
            reportTooLarge("bytes without a response");
            fail("no response within " + MAX_BYTES_WITHOUT_PROGRESS + " bytes");
        }
    }

    /** What was still read of a connection that either side has closed says nothing about other calls. */
    private void reportForeign(String what) {
        if (ctx.channel().isActive()) {
            foreign = true;
            onForeign.accept(what + connectionKind());
        }
    }

    private String connectionKind() {
        return firstCall ? ", new connection" : ", kept connection";
    }

    private void reportTooLarge(String input) {
        if (listener != null) {
            listener.onTooLarge(input);
        }
    }

    private void fail(String cause) {
        HttpResponseListener r = listener;
        listener = null;
        close();
        if (r != null) {
            r.onFailure(false, cause + connectionKind() + (foreign ? " with bytes of another response" : ""));
        }
    }

    private static boolean isDelimited(HttpMessage m) {
        return HttpUtil.isContentLengthSet(m)
                || HttpUtil.isTransferEncodingChunked(m)
                || m instanceof HttpResponse && ((HttpResponse) m).status().code() == 204;
    }

    private long idleTimeout(HttpResponse head) {
        String v = head.headers().get("Keep-Alive");
        if (v == null) {
            return defaultIdleTimeoutMs;
        }
        int index = v.indexOf("timeout=");
        if (index < 0) {
            return defaultIdleTimeoutMs;
        }
        String digits = v.substring(index + "timeout=".length()).split("[^0-9]", 2)[0];
        if (digits.isEmpty() || digits.length() > 6) {
            return defaultIdleTimeoutMs;
        }
        return Math.min(defaultIdleTimeoutMs, Math.max(0, Long.parseLong(digits) * 1_000 - IDLE_MARGIN_MS));
    }
}
