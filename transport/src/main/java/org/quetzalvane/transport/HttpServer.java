package org.quetzalvane.transport;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseEncoder;

/**
 * Accepts HTTP/1.1 connections and hands each request over once it has been read whole.
 *
 * <p>Confined to the event loop, except for {@link #listen}.
 */
public final class HttpServer {
    /** Largest request line, bytes; the paths of the routes are short. */
    private static final int MAX_LINE_BYTES = 8_192;

    private static final int CHUNK_BYTES = 16_384;

    private final Loop loop;
    private final Supplier<ServerLimits> limits;
    private final Consumer<ServerExchange> handler;
    private final Set<ServerConnection> connections = new HashSet<>();
    private Channel listener;
    private boolean draining;
    private boolean accepting = true;

    public HttpServer(Loop loop, Supplier<ServerLimits> limits, Consumer<ServerExchange> handler) {
        this.loop = loop;
        this.limits = limits;
        this.handler = handler;
    }

    /** Binds the address; waits until it is bound. */
    public InetSocketAddress listen(InetSocketAddress at) {
        listener = loop.server()
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        open(ch);
                    }
                })
                .bind(at)
                .syncUninterruptibly()
                .channel();
        return (InetSocketAddress) listener.localAddress();
    }

    /** Closes the listening address and idle connections; what still arrives is for the handler to refuse. */
    public void stopAccepting() {
        accepting = false;
        listener.close();
        List.copyOf(connections).forEach(ServerConnection::closeIfIdle);
    }

    public boolean accepting() {
        return accepting;
    }

    /** From now on every answer closes its connection, and idle connections are closed. */
    public void drain() {
        draining = true;
        List.copyOf(connections).forEach(ServerConnection::closeIfIdle);
    }

    /** Requests that were read and are not answered yet. */
    public long unanswered() {
        return connections.stream().filter(ServerConnection::busy).count();
    }

    boolean draining() {
        return draining;
    }

    void handle(ServerExchange exchange) {
        handler.accept(exchange);
    }

    void closed(ServerConnection c) {
        connections.remove(c);
    }

    private void open(Channel ch) {
        ServerLimits l = limits.get();
        ServerConnection c = new ServerConnection(this, loop, l);
        connections.add(c);
        HttpDecoderConfig config = new HttpDecoderConfig()
                .setMaxInitialLineLength(MAX_LINE_BYTES)
                .setMaxHeaderSize(l.headerBytes())
                .setMaxChunkSize(CHUNK_BYTES)
                .setAllowDuplicateContentLengths(false)
                .setStrictLineParsing(true);
        ch.pipeline().addLast(new HttpResponseEncoder(), c.firstByteWatch(), new StrictDecoder(config), c);
    }

    /** Refuses a request that names both a length and chunks, with which another request can be hidden in its body. */
    private static final class StrictDecoder extends HttpRequestDecoder {

        StrictDecoder(HttpDecoderConfig config) {
            super(config);
        }

        @Override
        protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
            throw new IllegalArgumentException("both a length and chunks");
        }
    }
}
