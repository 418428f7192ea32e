package org.quetzalvane.transport;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.ScheduledFuture;
import jdk.net.ExtendedSocketOptions;
import org.quetzalvane.core.time.Scheduler;

/**
 * Single-threaded event loop of Netty for connections and timers, and the scheduler of the objects that are confined to
 * it.
 *
 * <p>Scheduling is thread-safe; objects that are confined to the event loop are only used by its tasks.
 */
public final class NettyEventLoop implements Scheduler, AutoCloseable {
    /**
     * Idle time after which the kernel sends a TCP keep-alive probe, seconds: a third of the platform's usual stability
     * window.
     */
    private static final int KEEP_ALIVE_IDLE_S = 1;
    /** Unacknowledged keep-alive probes, one per second, after which a connection counts as lost. */
    private static final int KEEP_ALIVE_PROBES = 2;
    /** Length of the accept queue, connections; a restart causes a burst of a few hundred. */
    private static final int ACCEPT_BACKLOG = 1_024;
    /** Duration of a pass from which on it is reported; half of the time within which a cancelled request must end. */
    private static final long SLOW_PASS_NANOS = 250_000_000;

    private final IoHandlerFactory nio = NioIoHandler.newFactory();
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(
            1,
            executor ->
                    new GuardedIoHandler(nio.newHandler(executor), new PassTimer(this::passed), this::reportFailure));
    private final EventLoop loop = group.next();
    private volatile PassTimer.Listener slowPassListener = (lateNanos, ioNanos, tasksNanos) -> {};
    private volatile Consumer<Throwable> failureListener = t -> t.printStackTrace(System.err);

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
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.SO_KEEPALIVE, true)
                .childOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEP_ALIVE_IDLE_S)
                .childOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), 1)
                .childOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEP_ALIVE_PROBES);
    }

    /** Sets the listener for exceptions and errors of tasks and handlers, which are not handled otherwise. */
    public void onFailure(Consumer<Throwable> listener) {
        failureListener = listener;
    }

    /** Receives the passes of the event loop that took long, on the event loop. */
    @FunctionalInterface
    public interface SlowPassListener {
        /**
         * A pass was slow; what arrived meanwhile was read late.
         *
         * @param lateMs time for which the loop woke up too late for a timer, ms
         * @param ioMs duration of its I/O, ms
         * @param tasksMs duration of its tasks, ms
         */
        void slowPass(long lateMs, long ioMs, long tasksMs);
    }

    /** Sets the listener for slow passes. */
    public void onSlowPass(SlowPassListener listener) {
        slowPassListener = (lateNanos, ioNanos, tasksNanos) ->
                listener.slowPass(lateNanos / 1_000_000, ioNanos / 1_000_000, tasksNanos / 1_000_000);
    }

    private void passed(long lateNanos, long ioNanos, long tasksNanos) {
        if (lateNanos + ioNanos + tasksNanos >= SLOW_PASS_NANOS) {
            slowPassListener.passed(lateNanos, ioNanos, tasksNanos);
        }
    }

    /**
     * Reports an exception of a task or handler. An I/O error comes from the remote side of a connection and is not
     * reported.
     */
    void reportFailure(Throwable cause) {
        if (!(cause instanceof IOException)) {
            failureListener.accept(cause);
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
            reportFailure(t);
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

    /** Whether {@link #close} has been called. */
    boolean isClosing() {
        return loop.isShuttingDown();
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }
}
