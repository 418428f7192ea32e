package org.quetzalvane.transport;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Supplier;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.quetzalvane.core.limit.ConnectionTable;
import org.quetzalvane.core.time.Scheduler;

/**
 * One accepted connection: reads complete requests, passes on one at a time, and closes after a request that it
 * rejects. A request whose body cannot be held is passed on at once without its body, which is discarded as it arrives,
 * so that the client reads the response and may go on using the connection.
 *
 * <p>Before a request is passed on, everything that has arrived is read: a client that has given up has closed the
 * connection behind its request.
 *
 * <p>Confined to the event loop.
 */
final class ServerConnection extends ChannelInboundHandlerAdapter {
    /**
     * Number of queued requests from which on the connection takes no more; clients usually send one at a time. Reading
     * goes on, since the end of the connection lies behind what has arrived.
     */
    private static final int MAX_QUEUED_REQUESTS = 64;

    private final HttpServer server;
    private final NettyEventLoop loop;
    private final Supplier<ServerLimits> limits;
    private final ConnectionTable.Entry entry;
    private final RequestDecoder decoder;
    private final ArrivingRequest arriving;
    private final ClientActivity client = new ClientActivity();
    private final Deque<ServerExchange> queued = new ArrayDeque<>();
    private ChannelHandlerContext ctx;
    /** Whether the rest of the present request's body is discarded, since it cannot be held. */
    private boolean discarding;

    private boolean closeAfterDiscarded;
    /** Whether the connection ends with the response to the last queued request; what follows it is discarded. */
    private boolean full;
    /** Whether the connection ends with a response that is complete; what is read from then on is discarded. */
    private boolean closing;

    private ServerExchange current;
    private ChannelFuture lastResponse;
    private Scheduler.Timer timer;
    private long idleSince;
    private HttpResponseStatus rejection;
    private boolean firstByteReceived;

    private boolean passOnScheduled;

    ServerConnection(
            HttpServer server,
            NettyEventLoop loop,
            Supplier<ServerLimits> limits,
            ConnectionTable.Entry entry,
            RequestDecoder decoder,
            ArrivingRequest arriving) {
        this.server = server;
        this.loop = loop;
        this.limits = limits;
        this.entry = entry;
        this.decoder = decoder;
        this.arriving = arriving;
    }

    /** Starts the header timeout of a request at its first byte, unless another request is in progress. */
    ChannelInboundHandlerAdapter firstByteHandler() {
        return new ChannelInboundHandlerAdapter() {
            @Override
            public void channelRead(ChannelHandlerContext c, Object msg) {
                entry.bytesArrived();
                client.bytesRead(loop.nanoTime());
                if (!firstByteReceived && current == null) {
                    firstByteReceived = true;
                    startTimer(limits.get().headerTimeoutMs(), ServerConnection.this::headerTimeout);
                }
                c.fireChannelRead(msg);
            }
        };
    }

    /** Bytes of responses that the client has not read yet. */
    long unsentBytes() {
        ChannelOutboundBuffer b = ctx.channel().unsafe().outboundBuffer();
        return b == null ? 0 : b.totalPendingWriteBytes();
    }

    /** Time at which bytes of the client arrived last, ns. */
    long lastReadNanos() {
        return client.lastReadNanos();
    }

    /** Whether a request has begun to arrive that is not whole. */
    boolean hasUnfinishedRequest() {
        return rejection == null && (arriving.hasHead() || firstByteReceived && !discarding);
    }

    /** Ends a request that is not whole. */
    void timeOut() {
        reject(HttpResponseStatus.REQUEST_TIMEOUT);
    }

    boolean busy() {
        return current != null || !queued.isEmpty();
    }

    /** Whether a complete response has not been sent yet, because the client reads slowly. */
    boolean hasUnsentResponse() {
        return lastResponse != null && !lastResponse.isDone();
    }

    /** Closes the connection if it carries no request, after a response that has not been sent yet. */
    void closeIfIdle() {
        if (hasUnsentResponse()) {
            lastResponse.addListener(f -> closeIfIdle());
        } else if (!busy() && !firstByteReceived) {
            ctx.close();
        }
    }

    @Override
    public void handlerAdded(ChannelHandlerContext c) {
        ctx = c;
        startIdleTimer();
    }

    @Override
    public void channelRead(ChannelHandlerContext c, Object msg) {
        try {
            if (rejection == null && !full && !closing) {
                handle((HttpObject) msg);
            }
        } finally {
            ReferenceCountUtil.release(msg);
        }
    }

    private void handle(HttpObject o) {
        if (o.decoderResult().isFailure()) {
            reject(RequestDecoder.statusOf(o.decoderResult().cause()));
            return;
        }
        if (o instanceof HttpRequest) {
            startRequest((HttpRequest) o);
        }
        if (o instanceof HttpContent && arriving.hasHead()) {
            handleBody((HttpContent) o);
        } else if (o instanceof LastHttpContent && discarding) {
            discarded();
        }
    }

    private void startRequest(HttpRequest r) {
        stopTimer();
        boolean valid = r.protocolVersion().equals(HttpVersion.HTTP_1_1)
                && r.headers().getAll(HttpHeaderNames.HOST).size() == 1;
        if (!valid) {
            reject(HttpResponseStatus.BAD_REQUEST);
            return;
        }
        if (HttpUtil.getContentLength(r, 0L) > limits.get().maxBodyBytes()) {
            reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            return;
        }
        if (!arriving.begin(r)) {
            refuseBody();
            return;
        }
        startTimer(limits.get().idleTimeoutMs(), () -> reject(HttpResponseStatus.REQUEST_TIMEOUT));
        if (HttpUtil.is100ContinueExpected(r)) {
            ctx.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    private void handleBody(HttpContent chunk) {
        if (arriving.bodyBytes() + chunk.content().readableBytes()
                > limits.get().maxBodyBytes()) {
            reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            return;
        }
        if (!arriving.add(chunk.content())) {
            refuseBody();
            if (chunk instanceof LastHttpContent) {
                discarded();
            }
            return;
        }
        if (chunk instanceof LastHttpContent) {
            stopTimer();
            firstByteReceived = false;
            queued.add(arriving.take(this, ctx, true));
            full = queued.size() >= MAX_QUEUED_REQUESTS;
            schedulePassOn();
        }
    }

    /** Passes the request on without its body. */
    private void refuseBody() {
        queued.add(arriving.take(this, ctx, false));
        discarding = true;
        schedulePassOn();
    }

    /** The body of a request that was refused has ended. */
    private void discarded() {
        discarding = false;
        firstByteReceived = false;
        if (closeAfterDiscarded) {
            closeAfter(lastResponse);
        }
    }

    private void closeAfter(ChannelFuture written) {
        closing = true;
        written.addListener(ChannelFutureListener.CLOSE);
    }

    /** Passes the next request on once the present read of the socket has ended. */
    private void schedulePassOn() {
        if (!passOnScheduled) {
            passOnScheduled = true;
            loop.execute(() -> {
                passOnScheduled = false;
                handleNext();
            });
        }
    }

    private void handleNext() {
        boolean ends = closing || closeAfterDiscarded;
        if (current != null || ends || queued.isEmpty() || !clientPresent()) {
            return;
        }
        current = queued.poll();
        entry.requestArrived();
        server.handle(current);
    }

    /** Whether the client has not closed the connection; otherwise the current request has ended. */
    boolean clientPresent() {
        boolean present = client.isPresent(ctx.channel(), loop.nanoTime());
        if (!present) {
            endCurrent();
        }
        return present;
    }

    private void endCurrent() {
        if (current != null) {
            ServerExchange e = current;
            current = null;
            e.disconnected();
            e.release();
        }
    }

    /**
     * Whether the response to a request is the last one; what has been read behind it is answered first, also if it is
     * not decoded yet.
     */
    boolean closesAfterResponse(HttpRequest r) {
        return full && queued.isEmpty()
                || server.draining() && queued.isEmpty() && !decoder.hasBytes() && rejection == null
                || !HttpUtil.isKeepAlive(r)
                || discarding && HttpUtil.is100ContinueExpected(r);
    }

    /**
     * Called when the response to the current request is complete.
     *
     * @param written done when the response has been sent
     */
    void responseCompleted(boolean close, ChannelFuture written) {
        current.release();
        current = null;
        lastResponse = written;
        written.addListener(f -> {
            if (!busy()) {
                entry.requestsDone();
            }
        });
        if (close && discarding) {
            // A socket that is closed with unread bytes is reset, which can discard the response.
            closeAfterDiscarded = true;
            startIdleTimer();
            return;
        }
        if (close) {
            closeAfter(written);
            return;
        }
        if (queued.isEmpty() && rejection != null) {
            sendRejection();
            return;
        }
        startIdleTimer();
        handleNext();
    }

    private void headerTimeout() {
        if (!arriving.hasHead()) {
            reject(HttpResponseStatus.REQUEST_TIMEOUT);
        }
    }

    /**
     * Responds to a request that cannot be read and closes the connection, after the responses to the requests before
     * it.
     */
    private void reject(HttpResponseStatus status) {
        rejection = status;
        stopTimer();
        arriving.release();
        if (!busy()) {
            sendRejection();
        }
    }

    private void sendRejection() {
        ctx.writeAndFlush(RejectionResponse.of(rejection, ctx.channel())).addListener(ChannelFutureListener.CLOSE);
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
        server.connectionClosed(this);
        entry.remove();
        arriving.release();
        if (!closing) {
            queued.forEach(server::departed);
        }
        queued.forEach(ServerExchange::release);
        queued.clear();
        endCurrent();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext c, Throwable cause) {
        // The exchange is notified when the channel becomes inactive.
        loop.reportFailure(cause);
        c.close();
    }

    private void startIdleTimer() {
        idleSince = loop.nanoTime();
        startTimer(limits.get().idleTimeoutMs(), this::closeIfIdleTooLong);
    }

    /** Closes the connection unless a response is being sent or the idle limit was raised meanwhile. */
    private void closeIfIdleTooLong() {
        if (hasUnsentResponse() && client.readsResponses(unsentBytes())) {
            startIdleTimer();
            return;
        }
        long leftMs = limits.get().idleTimeoutMs() - (loop.nanoTime() - idleSince) / 1_000_000;
        if (leftMs > 0) {
            startTimer(leftMs, this::closeIfIdleTooLong);
        } else {
            ctx.close();
        }
    }

    private void startTimer(long ms, Runnable task) {
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
}
