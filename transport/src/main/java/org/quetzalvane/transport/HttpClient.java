package org.quetzalvane.transport;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;

/**
 * HTTP/1.1 client with a pool of persistent connections, each for one call at a time; the most recently used idle
 * connection is reused first.
 *
 * <p>Confined to the event loop.
 */
public final class HttpClient {
    /** Idle time after which a pooled connection is closed, ms, unless the server states a shorter one. */
    private static final long DEFAULT_IDLE_TIMEOUT_MS = 8_000;

    /** Longest idle time that no pooled connection has, so that a new one carries the request. */
    public static final long NEW_CONNECTION = -1;

    /** Time after bytes that belong to no call within which connections opened before are closed after their call. */
    private static final long FOREIGN_REMEMBERED_MS = 60_000;

    private static final String EXPIRED = "expired before it was sent";

    private final NettyEventLoop loop;
    private final Bootstrap bootstrap;
    private final Map<InetSocketAddress, Deque<ClientConnection>> idle = new HashMap<>();
    private final Map<InetSocketAddress, Integer> open = new HashMap<>();
    /** Time of the last bytes that belong to no call, by address; entries are removed after a time. */
    private final Map<InetSocketAddress, Long> foreignNanos = new HashMap<>();

    private Consumer<InetSocketAddress> connectionLost = to -> {};
    private BiConsumer<InetSocketAddress, String> foreignResponse = (to, what) -> {};

    public HttpClient(NettyEventLoop loop, int connectTimeoutMs) {
        this.loop = loop;
        this.bootstrap = loop.client(connectTimeoutMs);
    }

    /**
     * Sets the listener for addresses to which a connection broke, by a reset or within a call, or the last connection
     * was closed; it is called before the listener of the call.
     */
    public void onConnectionLost(Consumer<InetSocketAddress> listener) {
        connectionLost = listener;
    }

    /**
     * Sets the listener for bytes from an address that belong to no call, such as a second response to an earlier one;
     * it gets what was seen, for the log.
     */
    public void onForeignResponse(BiConsumer<InetSocketAddress, String> listener) {
        foreignResponse = listener;
    }

    /** A call in progress. */
    public interface Call {
        /** Cancels the call and closes its connection; the listener is not called any more. */
        void cancel();

        /** Resumes or stops reading the response. */
        void setReading(boolean on);
    }

    /**
     * Sends a request with a complete body, over an idle connection if there is one. Takes over the reference to the
     * request.
     *
     * @param maxIdleMs longest idle time, ms, of a pooled connection that may carry the request; {@link
     *     #NEW_CONNECTION} for none
     */
    public Call send(InetSocketAddress to, FullHttpRequest request, long maxIdleMs, HttpResponseListener listener) {
        return send(to, request, maxIdleMs, () -> true, listener);
    }

    /**
     * The same for a request that may expire while the connection is made, which after a pause of the process can be
     * much longer than the timeout.
     *
     * @param valid asked once, when a connection is ready and the request is written next, possibly within this call;
     *     if false, nothing is sent and the call fails as not sent
     */
    public Call send(
            InetSocketAddress to,
            FullHttpRequest request,
            long maxIdleMs,
            BooleanSupplier valid,
            HttpResponseListener listener) {
        PendingCall call = new PendingCall(request, listener);
        ClientConnection idleConnection = takeIdle(to, maxIdleMs);
        if (idleConnection != null) {
            if (valid.getAsBoolean()) {
                call.sendOn(idleConnection);
            } else {
                addIdle(to, idleConnection);
                loop.execute(() -> call.connectFailed(EXPIRED));
            }
            return call;
        }
        ClientConnection opened = new ClientConnection(
                loop,
                DEFAULT_IDLE_TIMEOUT_MS,
                c -> addIdle(to, c),
                broken -> closed(to, broken),
                what -> foreign(to, what));
        ChannelFuture f = bootstrap
                .clone()
                .handler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        ch.pipeline().addLast(new HttpRequestEncoder(), opened.decoder(), opened);
                    }
                })
                .connect(to);
        call.connecting = f.channel();
        f.addListener(done -> {
            call.connecting = null;
            if (done.isSuccess()) {
                open.merge(to, 1, Integer::sum);
            }
            if (done.isSuccess() && !call.cancelled && !valid.getAsBoolean()) {
                opened.returnUnused();
                call.connectFailed(EXPIRED);
            } else if (done.isSuccess()) {
                call.sendOn(opened);
            } else {
                call.connectFailed(String.valueOf(done.cause()));
            }
        });
        return call;
    }

    /** Closes all idle connections to an address. */
    public void closeIdle(InetSocketAddress to) {
        Deque<ClientConnection> q = idle.remove(to);
        if (q != null) {
            q.forEach(ClientConnection::close);
        }
    }

    private ClientConnection takeIdle(InetSocketAddress to, long maxIdleMs) {
        Deque<ClientConnection> q = idle.get(to);
        if (q == null) {
            return null;
        }
        for (Iterator<ClientConnection> i = q.iterator(); i.hasNext(); ) {
            ClientConnection c = i.next();
            if (!c.isIdle()) {
                i.remove();
            } else if (c.idleMs() <= maxIdleMs) {
                i.remove();
                return c;
            }
        }
        return null;
    }

    private void closed(InetSocketAddress to, boolean broken) {
        if (!broken) {
            open.computeIfPresent(to, (a, n) -> n == 1 ? null : n - 1);
        }
        if (broken || !open.containsKey(to)) {
            connectionLost.accept(to);
        }
    }

    /** The server may owe such bytes on its other connections as well, so that these are not used again. */
    private void foreign(InetSocketAddress to, String what) {
        long now = loop.nanoTime();
        foreignNanos.put(to, now);
        loop.schedule(Duration.ofMillis(FOREIGN_REMEMBERED_MS), () -> foreignNanos.remove(to, now));
        closeIdle(to);
        foreignResponse.accept(to, what);
    }

    private void addIdle(InetSocketAddress to, ClientConnection c) {
        Long foreign = foreignNanos.get(to);
        if (foreign != null && c.openedNanos() - foreign < 0) {
            c.close();
            return;
        }
        idle.computeIfAbsent(to, a -> new ArrayDeque<>()).addFirst(c);
    }

    private static final class PendingCall implements Call {
        private final FullHttpRequest request;
        private final HttpResponseListener listener;
        private Channel connecting;
        private ClientConnection connection;
        private boolean cancelled;

        PendingCall(FullHttpRequest request, HttpResponseListener listener) {
            this.request = request;
            this.listener = listener;
        }

        void sendOn(ClientConnection c) {
            if (cancelled) {
                request.release();
                c.returnUnused();
                return;
            }
            connection = c;
            c.send(request, listener);
        }

        void connectFailed(String cause) {
            request.release();
            if (!cancelled) {
                listener.onFailure(true, cause);
            }
        }

        @Override
        public void cancel() {
            cancelled = true;
            if (connecting != null) {
                connecting.close();
            }
            if (connection != null) {
                connection.cancel(listener);
            }
        }

        @Override
        public void setReading(boolean on) {
            if (connection != null && !cancelled) {
                connection.setReading(listener, on);
            }
        }
    }
}
