package org.quetzalvane.transport;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpResponseEncoder;
import org.quetzalvane.core.limit.ConnectionTable;
import org.quetzalvane.core.limit.MemoryAccount;

/**
 * HTTP/1.1 server that passes each complete request to a handler, and at once one whose body cannot be held.
 *
 * <p>Confined to the event loop, except for {@link #listen}.
 */
public final class HttpServer {
    /** Largest request line, bytes; the paths of the routes are short. */
    private static final int MAX_REQUEST_LINE_BYTES = 8_192;

    private static final int MAX_CHUNK_BYTES = 16_384;
    /** Time without bytes after which an unfinished request is ended if the memory of the node is full, ms. */
    private static final long STALLED_MS = 1_000;

    /** Shortest delay of a task that runs after the next pass of the event loop's selector. */
    private static final Duration SELECTOR_PASS = Duration.ofMillis(1);

    private final NettyEventLoop loop;
    private final Supplier<ServerLimits> limits;
    private final MemoryAccount memory;
    private final ConnectionTable table;
    private final Consumer<ServerExchange> handler;
    private final Set<ServerConnection> connections = new HashSet<>();
    private Consumer<ServerExchange> departedListener = x -> {};
    private Channel serverChannel;
    private boolean draining;
    private boolean accepting = true;

    /** Creates a server with a memory account of its own, for tests and small services. */
    public HttpServer(NettyEventLoop loop, Supplier<ServerLimits> limits, Consumer<ServerExchange> handler) {
        this(loop, limits, MemoryAccount.ofHeap(Runtime.getRuntime().maxMemory()), handler);
    }

    /** Creates a server without a limit of its connections. */
    public HttpServer(
            NettyEventLoop loop,
            Supplier<ServerLimits> limits,
            MemoryAccount memory,
            Consumer<ServerExchange> handler) {
        this(loop, limits, memory, ConnectionTable.unlimited(), handler);
    }

    /**
     * Creates a server.
     *
     * @param memory account that the headers and bodies of requests are charged to
     * @param table which connections are kept when there are too many
     * @param handler must refuse a request whose body was refused
     */
    public HttpServer(
            NettyEventLoop loop,
            Supplier<ServerLimits> limits,
            MemoryAccount memory,
            ConnectionTable table,
            Consumer<ServerExchange> handler) {
        this.loop = loop;
        this.limits = limits;
        this.memory = memory;
        this.table = table;
        this.handler = handler;
    }

    /** Sets the listener for requests that are not handled, because their clients closed the connection before. */
    public void onDeparted(Consumer<ServerExchange> listener) {
        departedListener = listener;
    }

    /** Binds the address and waits until it is bound. */
    public InetSocketAddress listen(InetSocketAddress at) {
        serverChannel = loop.server()
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        initConnection(ch);
                    }
                })
                .bind(at)
                .syncUninterruptibly()
                .channel();
        return (InetSocketAddress) serverChannel.localAddress();
    }

    /**
     * Closes the listening socket and idle connections. The handler must refuse requests that still arrive on open
     * connections.
     *
     * @param stopped runs on the event loop when connections are refused
     */
    public void stopAccepting(Runnable stopped) {
        accepting = false;
        serverChannel.close();
        // The selector frees the socket of a closed channel in its next pass; until then the kernel accepts.
        loop.schedule(SELECTOR_PASS, stopped);
        List.copyOf(connections).forEach(ServerConnection::closeIfIdle);
    }

    public boolean accepting() {
        return accepting;
    }

    /** Closes idle connections, and every other connection after its current response. */
    public void drain() {
        draining = true;
        List.copyOf(connections).forEach(ServerConnection::closeIfIdle);
    }

    /** Number of connections with a complete request whose response is not complete or not sent completely. */
    public long busyConnections() {
        return connections.stream()
                .filter(c -> c.busy() || c.hasUnsentResponse())
                .count();
    }

    /** Number of open connections. */
    int connectionCount() {
        return connections.size();
    }

    boolean draining() {
        return draining;
    }

    /** Bytes of responses that clients have not read yet. */
    public long unsentBytes() {
        return connections.stream().mapToLong(ServerConnection::unsentBytes).sum();
    }

    void handle(ServerExchange exchange) {
        handler.accept(exchange);
    }

    void departed(ServerExchange exchange) {
        departedListener.accept(exchange);
    }

    void connectionClosed(ServerConnection c) {
        connections.remove(c);
    }

    /**
     * Ends the request that has waited longest for bytes of its client, because the memory of the node is full; returns
     * false if none has waited for {@link #STALLED_MS}.
     */
    boolean endStalledRequest() {
        long latestNanos = loop.nanoTime() - STALLED_MS * 1_000_000;
        Optional<ServerConnection> longest = connections.stream()
                .filter(c -> c.hasUnfinishedRequest() && c.lastReadNanos() - latestNanos < 0)
                .min(Comparator.comparingLong(ServerConnection::lastReadNanos));
        longest.ifPresent(ServerConnection::timeOut);
        return longest.isPresent();
    }

    private void initConnection(Channel ch) {
        ConnectionTable.Entry entry = table.add(ch::close);
        if (entry == null) {
            ch.close();
            return;
        }
        ServerLimits l = limits.get();
        AccountedHeaders headers = new AccountedHeaders(memory, this::endStalledRequest);
        HttpDecoderConfig config = new HttpDecoderConfig()
                .setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES)
                .setMaxHeaderSize(l.maxHeaderBytes())
                .setMaxChunkSize(MAX_CHUNK_BYTES)
                .setAllowDuplicateContentLengths(false)
                .setStrictLineParsing(true)
                .setHeadersFactory(headers.heads())
                .setTrailersFactory(headers.trailers());
        RequestDecoder decoder = new RequestDecoder(config);
        ArrivingRequest arriving = new ArrivingRequest(memory, headers, this::endStalledRequest);
        ServerConnection c = new ServerConnection(this, loop, limits, entry, decoder, arriving);
        connections.add(c);
        ch.pipeline().addLast(new HttpResponseEncoder(), c.firstByteHandler(), decoder, c);
    }
}
