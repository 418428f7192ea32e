package org.quetzalvane.transport;

import java.nio.ByteBuffer;
import java.nio.channels.Pipe;
import java.nio.channels.SelectionKey;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.netty.channel.IoEventLoop;
import io.netty.channel.nio.NioIoOps;
import io.netty.channel.nio.NioSelectableChannelIoHandle;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

@Timeout(value = 60, unit = TimeUnit.SECONDS)
class NettyEventLoopTest {
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
}
