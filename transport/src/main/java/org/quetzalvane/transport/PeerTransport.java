package org.quetzalvane.transport;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
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
 * Exchanges frames between the nodes over TCP. A node keeps a connection to each of its target peers. Each connection
 * carries frames both ways: its first frame is the address of the node that made it, so that the other node, which need
 * not have that node as a target, can send to it as well.
 *
 * <p>Confined to the event loop, except for {@link #listen}.
 */
public final class PeerTransport {
    /** Largest frame accepted, bytes: several times the size of the list of all endpoints of a deployment. */
    private static final int MAX_FRAME_BYTES = 16 * 1024 * 1024;

    /** Largest first frame of a connection, bytes: an address of 53 characters at most. */
    private static final int MAX_ADDRESS_BYTES = 64;

    private static final int LENGTH_FIELD_BYTES = 4;
    /** Delay before reconnecting to a peer, ms: one report interval of the peers. */
    private static final long RECONNECT_DELAY_MS = 300;

    private static final int CONNECT_TIMEOUT_MS = 500;
    /**
     * Bytes queued for one peer above which its connection is closed, to bound the memory held for a peer that does not
     * read.
     */
    private static final int MAX_PENDING_BYTES = 1024 * 1024;

    private final NettyEventLoop loop;
    private final byte[] self;
    private final Consumer<byte[]> handler;
    private final BiConsumer<String, Boolean> connectionListener;
    private final Map<String, Channel> channels = new HashMap<>();
    /** Connections that other nodes made, by the address that they sent first. */
    private final Map<String, Channel> accepted = new HashMap<>();

    private final Set<String> targets = new HashSet<>();

    /**
     * Creates the transport; it has no connections before {@link #setTargets}.
     *
     * @param self address of this node for peers, IP:PORT
     * @param handler takes each frame that arrives
     * @param connectionListener called with true when the connection to a peer is made and with false when it is lost;
     *     not called for a connection that {@link #setTargets} closes
     */
    public PeerTransport(
            NettyEventLoop loop,
            String self,
            Consumer<byte[]> handler,
            BiConsumer<String, Boolean> connectionListener) {
        this.loop = loop;
        this.self = self.getBytes(StandardCharsets.US_ASCII);
        this.handler = handler;
        this.connectionListener = connectionListener;
    }

    /** Binds the address for peers and waits until it is bound. */
    public void listen(InetSocketAddress at) {
        loop.server().childHandler(pipeline(true)).bind(at).syncUninterruptibly();
    }

    /** Sets the peers to keep connections to, given as IP:PORT; connections to others are closed. */
    public void setTargets(Set<String> peers) {
        for (String p : peers) {
            if (targets.add(p)) {
                connect(p);
            }
        }
        for (String p : Set.copyOf(targets)) {
            if (!peers.contains(p)) {
                targets.remove(p);
                Channel c = channels.remove(p);
                if (c != null) {
                    c.close();
                }
            }
        }
    }

    /**
     * Queues a frame for a peer. Returns false if there is no connection in either direction, or if more than {@link
     * #MAX_PENDING_BYTES} are queued on it, in which case the connection is closed.
     */
    public boolean send(String peer, byte[] frame) {
        Channel c = channels.get(peer);
        if (c == null || !c.isActive()) {
            c = accepted.get(peer);
        }
        if (c == null || !c.isActive()) {
            return false;
        }
        if (c.unsafe().outboundBuffer() != null
                && c.unsafe().outboundBuffer().totalPendingWriteBytes() > MAX_PENDING_BYTES) {
            c.close();
            return false;
        }
        c.writeAndFlush(Unpooled.wrappedBuffer(frame));
        return true;
    }

    private void connect(String peer) {
        if (!targets.contains(peer)) {
            return;
        }
        loop.client(CONNECT_TIMEOUT_MS)
                .handler(pipeline(false))
                .connect(Addresses.parse(peer))
                .addListener((io.netty.channel.ChannelFuture f) -> {
                    if (!f.isSuccess()) {
                        loop.schedule(Duration.ofMillis(RECONNECT_DELAY_MS), () -> connect(peer));
                        return;
                    }
                    channels.put(peer, f.channel());
                    f.channel().writeAndFlush(Unpooled.wrappedBuffer(self));
                    connectionListener.accept(peer, true);
                    f.channel().closeFuture().addListener(x -> disconnected(peer, f.channel()));
                });
    }

    private void disconnected(String peer, Channel c) {
        if (channels.remove(peer, c)) {
            connectionListener.accept(peer, false);
        }
        loop.schedule(Duration.ofMillis(RECONNECT_DELAY_MS), () -> connect(peer));
    }

    private void acceptedClosed(String peer, Channel c) {
        if (accepted.remove(peer, c) && !channels.containsKey(peer)) {
            connectionListener.accept(peer, false);
        }
    }

    private ChannelInitializer<Channel> pipeline(boolean fromPeer) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel ch) {
                ch.pipeline()
                        .addLast(
                                frameDecoder(fromPeer ? MAX_ADDRESS_BYTES : MAX_FRAME_BYTES),
                                new LengthFieldPrepender(LENGTH_FIELD_BYTES),
                                new FrameHandler(fromPeer));
            }
        };
    }

    private static LengthFieldBasedFrameDecoder frameDecoder(int maxBytes) {
        return new LengthFieldBasedFrameDecoder(maxBytes, 0, LENGTH_FIELD_BYTES, 0, LENGTH_FIELD_BYTES);
    }

    private final class FrameHandler extends SimpleChannelInboundHandler<ByteBuf> {
        private boolean awaitsAddress;

        FrameHandler(boolean awaitsAddress) {
            this.awaitsAddress = awaitsAddress;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf msg) {
            if (awaitsAddress) {
                awaitsAddress = false;
                String peer = msg.toString(StandardCharsets.US_ASCII);
                accepted.put(peer, ctx.channel());
                ctx.channel().closeFuture().addListener(x -> acceptedClosed(peer, ctx.channel()));
                // Last, since frames that arrived with the address are handled within this call.
                ctx.pipeline().replace(LengthFieldBasedFrameDecoder.class, null, frameDecoder(MAX_FRAME_BYTES));
            } else {
                handler.accept(ByteBufUtil.getBytes(msg));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // Closing the channel reports the peer as disconnected and starts the reconnection.
            loop.reportFailure(cause);
            ctx.close();
        }
    }
}
