package org.quetzalvane.transport;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;

/**
 * Calls HTTP/1.1 servers over kept connections, one call at a time on each; the one used last is used first.
 *
 * <p>Confined to the event loop.
 */
public final class HttpClient {
    /** Kept connections are closed after this idle time, ms, unless the server names a shorter one. */
    private static final long USUAL_IDLE_MS = 8_000;

    private final Loop loop;
    private final Bootstrap bootstrap;
    private final Map<InetSocketAddress, Deque<HttpConnection>> idle = new HashMap<>();

    public HttpClient(Loop loop, int connectTimeoutMs) {
        this.loop = loop;
        this.bootstrap = loop.client(connectTimeoutMs);
    }

    /** A call under way. */
    public interface Call {
        /** Stops the call and closes its connection; nothing more is heard of it. */
        void cancel();

        void reading(boolean on);
    }

    /**
     * Sends a request whose body is complete.
     *
     * @param maxIdleMs longest idle time of a kept connection that may carry it, milliseconds
     */
    public Call send(InetSocketAddress to, FullHttpRequest request, long maxIdleMs, HttpReply reply) {
        Pending call = new Pending(request, reply);
        HttpConnection kept = takeIdle(to, maxIdleMs);
        if (kept != null) {
            call.use(kept);
            return call;
        }
        HttpConnection fresh = new HttpConnection(loop, USUAL_IDLE_MS, c -> putIdle(to, c));
        ChannelFuture f = bootstrap
                .clone()
                .handler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        ch.pipeline().addLast(new HttpRequestEncoder(), fresh.decoder(), fresh);
                    }
                })
                .connect(to);
        call.connecting = f.channel();
        f.addListener(done -> {
            call.connecting = null;
            if (done.isSuccess()) {
                call.use(fresh);
            } else {
                call.connectFailed(String.valueOf(done.cause()));
            }
        });
        return call;
    }

    /** Closes every kept connection to an address. */
    public void drop(InetSocketAddress to) {
        Deque<HttpConnection> q = idle.remove(to);
        if (q != null) {
            q.forEach(HttpConnection::close);
        }
    }

    private HttpConnection takeIdle(InetSocketAddress to, long maxIdleMs) {
        Deque<HttpConnection> q = idle.get(to);
        if (q == null) {
            return null;
        }
        for (Iterator<HttpConnection> i = q.iterator(); i.hasNext(); ) {
            HttpConnection c = i.next();
            if (!c.usable()) {
                i.remove();
            } else if (c.idleMs() <= maxIdleMs) {
                i.remove();
                return c;
            }
        }
        return null;
    }

    private void putIdle(InetSocketAddress to, HttpConnection c) {
        idle.computeIfAbsent(to, a -> new ArrayDeque<>()).addFirst(c);
    }

    private static final class Pending implements Call {
        private final FullHttpRequest request;
        private final HttpReply reply;
        private Channel connecting;
        private HttpConnection connection;
        private boolean cancelled;

        Pending(FullHttpRequest request, HttpReply reply) {
            this.request = request;
            this.reply = reply;
        }

        void use(HttpConnection c) {
            if (cancelled) {
                request.release();
                c.release();
                return;
            }
            connection = c;
            c.send(request, reply);
        }

        void connectFailed(String cause) {
            request.release();
            if (!cancelled) {
                reply.failed(true, cause);
            }
        }

        @Override
        public void cancel() {
            cancelled = true;
            if (connecting != null) {
                connecting.close();
            }
            if (connection != null) {
                connection.cancel(reply);
            }
        }

        @Override
        public void reading(boolean on) {
            if (connection != null && !cancelled) {
                connection.reading(reply, on);
            }
        }
    }
}
