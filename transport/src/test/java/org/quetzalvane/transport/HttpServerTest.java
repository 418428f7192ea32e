package org.quetzalvane.transport;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/** The end of listening. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class HttpServerTest {
    private static final int ROUNDS = 300;

    private final NettyEventLoop loop = new NettyEventLoop();

    @AfterEach
    void close() {
        loop.close();
    }

    /** A connection that the kernel still accepts would be reset, which tells its caller less than a refusal does. */
    @Test
    void noConnectionIsAcceptedOnceTheEndOfListeningIsReported() throws Exception {
        int refused = 0;
        for (int i = 0; i < ROUNDS; i++) {
            HttpServer server = new HttpServer(loop, () -> new ServerLimits(8_192, 8_192, 1_000, 1_000), x -> {});
            InetSocketAddress at = server.listen(new InetSocketAddress("127.0.0.1", 0));
            CountDownLatch stopped = new CountDownLatch(1);
            loop.execute(() -> server.stopAccepting(stopped::countDown));
            stopped.await();
            refused += refuses(at) ? 1 : 0;
        }
        assertThat(refused).isEqualTo(ROUNDS);
    }

    private static boolean refuses(InetSocketAddress at) throws IOException {
        try (Socket s = new Socket()) {
            s.connect(at, 1_000);
            return false;
        } catch (ConnectException e) {
            return true;
        }
    }
}
