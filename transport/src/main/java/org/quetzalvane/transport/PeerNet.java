package org.quetzalvane.transport;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;

/**
 * Frames between the nodes over TCP: each node keeps a connection to every peer that it was told of and sends on it;
 * answers come back on the peer's own connection.
 *
 * <p>Confined to the event loop, except for {@link #listen}.
 */
public final class PeerNet {
    /** Largest frame, bytes: the platform's list of a whole deployment fits several times. */
    private static final int MAX_FRAME = 16 * 1024 * 1024;

    private static final int LENGTH_BYTES = 4;
    /** Pause before a lost peer is called again, ms: one report of peers. */
    private static final long RECONNECT_MS = 300;

    private static final int CONNECT_TIMEOUT_MS = 500;
    /** Bytes that may wait for one peer; a peer that is silent is not worth more memory. */
    private static final int MAX_WAITING_BYTES = 1024 * 1024;

    private final Loop loop;
    private final Consumer<byte[]> handler;
    private final BiConsumer<String, Boolean> reachable;
    private final Map<String, Channel> open = new HashMap<>();
    private final Set<String> wanted = new HashSet<>();

    /**
     * Builds the net.
     *
     * @param handler takes each frame that arrives
     * @param reachable told when the connection to a peer is made or lost
     */
    public PeerNet(Loop loop, Consumer<byte[]> handler, BiConsumer<String, Boolean> reachable) {
        this.loop = loop;
        this.handler = handler;
        this.reachable = reachable;
    }

    /** Binds the address for peers; waits until it is bound. */
    public void listen(InetSocketAddress at) {
        loop.server().childHandler(pipeline()).bind(at).syncUninterruptibly();
    }

    /** Keeps connections to exactly these peers, given as IP:PORT. */
    public void want(Set<String> peers) {
        for (String p : peers) {
            if (wanted.add(p)) {
                connect(p);
            }
        }
        for (String p : Set.copyOf(wanted)) {
            if (!peers.contains(p)) {
                wanted.remove(p);
                Channel c = open.remove(p);
                if (c != null) {
                    c.close();
                }
            }
        }
    }

    /** Sends a frame; tells whether there is a connection that takes it. */
    public boolean send(String peer, byte[] frame) {
        Channel c = open.get(peer);
        if (c == null || !c.isActive()) {
            return false;
        }
        if (c.unsafe().outboundBuffer() != null
                && c.unsafe().outboundBuffer().totalPendingWriteBytes() > MAX_WAITING_BYTES) {
            c.close();
            return false;
        }
        c.writeAndFlush(Unpooled.wrappedBuffer(frame));
        return true;
    }

    private void connect(String peer) {
        if (!wanted.contains(peer)) {
            return;
        }
        loop.client(CONNECT_TIMEOUT_MS)
                .handler(pipeline())
                .connect(Addresses.parse(peer))
                .addListener((io.netty.channel.ChannelFuture f) -> {
                    if (!f.isSuccess()) {
                        loop.schedule(Duration.ofMillis(RECONNECT_MS), () -> connect(peer));
                        return;
                    }
                    open.put(peer, f.channel());
                    reachable.accept(peer, true);
                    f.channel().closeFuture().addListener(x -> lost(peer, f.channel()));
                });
    }

    private void lost(String peer, Channel c) {
        if (open.remove(peer, c)) {
            reachable.accept(peer, false);
        }
        loop.schedule(Duration.ofMillis(RECONNECT_MS), () -> connect(peer));
    }

    private ChannelInitializer<Channel> pipeline() {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel ch) {
                ch.pipeline()
                        .addLast(
                                new LengthFieldBasedFrameDecoder(MAX_FRAME, 0, LENGTH_BYTES, 0, LENGTH_BYTES),
                                new LengthFieldPrepender(LENGTH_BYTES),
                                new Frames());
            }
        };
    }

    private final class Frames extends SimpleChannelInboundHandler<ByteBuf> {

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf msg) {
            handler.accept(ByteBufUtil.getBytes(msg));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // After a reset or a frame that is too long the lost connection is reported and made anew.
            loop.failed(cause);
            ctx.close();
        }
    }
}
