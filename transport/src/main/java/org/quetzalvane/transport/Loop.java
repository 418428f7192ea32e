package org.quetzalvane.transport;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.ScheduledFuture;
import jdk.net.ExtendedSocketOptions;
import org.quetzalvane.core.time.Scheduler;

/**
 * The event loop of the process: one thread on which all connections and timers run, and the scheduler over it.
 *
 * <p>Scheduling is thread-safe; whatever is confined to the event loop runs as its tasks.
 */
public final class Loop implements Scheduler, AutoCloseable {
    /**
     * Idle time after which the kernel asks a silent peer, seconds: a third of the platform's usual stability window.
     */
    private static final int KEEP_ALIVE_IDLE_S = 1;
    /** Questions without an answer after which a connection counts as lost, one a second. */
    private static final int KEEP_ALIVE_PROBES = 2;
    /** Connections waiting to be accepted; a burst after a restart brings a few hundred at once. */
    private static final int BACKLOG = 1_024;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private volatile Consumer<Throwable> failures = t -> t.printStackTrace(System.err);

    EventLoop eventLoop() {
        return loop;
    }

    Bootstrap client(int connectTimeoutMs) {
        return new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMs)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.SO_KEEPALIVE, true)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEP_ALIVE_IDLE_S)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), 1)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEP_ALIVE_PROBES);
    }

    ServerBootstrap server() {
        return new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.SO_KEEPALIVE, true)
                .childOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEP_ALIVE_IDLE_S)
                .childOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), 1)
                .childOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEP_ALIVE_PROBES);
    }

    /** Names who hears of tasks and listeners that throw; nothing else is done about them. */
    public void onFailure(Consumer<Throwable> listener) {
        failures = listener;
    }

    /** Tells of a listener that threw; what comes from the other side of a connection is no such failure. */
    void failed(Throwable cause) {
        if (!(cause instanceof IOException)) {
            failures.accept(cause);
        }
    }

    /** Runs a task on the event loop. */
    public void execute(Runnable task) {
        loop.execute(() -> run(task));
    }

    private void run(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | Error t) {
            failed(t);
        }
    }

    @Override
    public long nanoTime() {
        return System.nanoTime();
    }

    @Override
    public long wallMillis() {
        return System.currentTimeMillis();
    }

    @Override
    public Timer schedule(Duration delay, Runnable task) {
        ScheduledFuture<?> f = loop.schedule(() -> run(task), delay.toNanos(), TimeUnit.NANOSECONDS);
        return () -> f.cancel(false);
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }
}
