package org.quetzalvane.transport;

import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.channels.Pipe;
import java.nio.channels.SelectionKey;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.LockSupport;

import io.netty.channel.IoEventLoop;
import io.netty.channel.nio.NioIoOps;
import io.netty.channel.nio.NioSelectableChannelIoHandle;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

@Timeout(value = 60, unit = TimeUnit.SECONDS)
class NettyEventLoopTest {
    private static final long SLOW_MS = 600;

    private final NettyEventLoop loop = new NettyEventLoop();

    @AfterEach
    void close() {
        loop.close();
    }

    /** The thread ended, and with it the process and all that it held. */
    @Test
    void errorOutsideOfATaskIsReportedAndTheLoopGoesOn() throws Exception {
        CompletableFuture<Throwable> reported = new CompletableFuture<>();
        loop.onFailure(reported::complete);
        CountDownLatch selectedAgain = new CountDownLatch(2);
        Pipe pipe = Pipe.open();
        pipe.source().configureBlocking(false);
        ((IoEventLoop) loop.eventLoop())
                .register(new NioSelectableChannelIoHandle<>(pipe.source()) {
                    @Override
                    protected void handle(Pipe.SourceChannel channel, SelectionKey key) {
                        selectedAgain.countDown();
                        if (selectedAgain.getCount() > 0) {
                            throw new OutOfMemoryError("of the test");
                        }
                        key.cancel();
                    }
                })
                .sync()
                .getNow()
                .submit(NioIoOps.READ);
        pipe.sink().write(ByteBuffer.allocate(1));
        assertThat(reported.get(10, TimeUnit.SECONDS)).hasMessage("of the test");
        assertThat(selectedAgain.await(10, TimeUnit.SECONDS)).isTrue();
        CountDownLatch ran = new CountDownLatch(1);
        loop.execute(ran::countDown);
        assertThat(ran.await(10, TimeUnit.SECONDS)).isTrue();
        pipe.sink().close();
        pipe.source().close();
    }

    /** A node that read requests late left no line of it. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void slowPassIsReportedWithWhatTookLong(boolean inTask) throws Exception {
        CompletableFuture<long[]> reported = new CompletableFuture<>();
        loop.onSlowPass((lateMs, ioMs, tasksMs) -> reported.complete(new long[] {lateMs, ioMs, tasksMs}));
        Runnable slow = () -> LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(SLOW_MS));
        InetSocketAddress at = new HttpServer(loop, () -> new ServerLimits(8_192, 8_192, 5_000, 5_000), x -> slow.run())
                .listen(new InetSocketAddress("127.0.0.1", 0));
        try (Socket s = new Socket(at.getAddress(), at.getPort())) {
            if (inTask) {
                loop.execute(slow);
            } else {
                s.getOutputStream().write("GET / HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            }
            long[] times = reported.get(10, TimeUnit.SECONDS);
            assertThat(times[0] + times[1] + times[2]).isGreaterThanOrEqualTo(SLOW_MS - 50);
        }
    }

    @Test
    void waitingForEventsIsNoSlowPass() throws Exception {
        AtomicBoolean reported = new AtomicBoolean();
        loop.onSlowPass((lateMs, ioMs, tasksMs) -> reported.set(true));
        for (int i = 0; i < 3; i++) {
            CountDownLatch ran = new CountDownLatch(1);
            loop.execute(ran::countDown);
            ran.await();
            TimeUnit.MILLISECONDS.sleep(SLOW_MS);
        }
        assertThat(reported).isFalse();
    }
}
