package org.quetzalvane.transport;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Frames of a peer that are larger than their bound. */
@Timeout(value = 30, unit = TimeUnit.SECONDS)
class PeerFrameBoundTest {
    private static final String ADDRESS = "127.0.0.1:9";

    private final NettyEventLoop loop = new NettyEventLoop();
    private final List<Throwable> failures = new CopyOnWriteArrayList<>();
    private final BlockingQueue<Integer> received = new LinkedBlockingQueue<>();

    @AfterEach
    void close() {
        loop.close();
    }

    /** Parameters: whether the address precedes the frame, and the length that the frame states. */
    @ParameterizedTest
    @CsvSource({"false, 65", "false, 1000000", "false, -1", "true, 16777217", "true, 2147483647", "true, -1"})
    void frameBeyondItsBoundClosesItsConnectionAndIsReportedWhileAnotherPeerIsHeard(boolean afterAddress, int length)
            throws Exception {
        int port = listen();
        try (Socket bad = connect(port);
                Socket good = connect(port)) {
            DataOutputStream out = new DataOutputStream(bad.getOutputStream());
            if (afterAddress) {
                writeFrame(out, ADDRESS.getBytes(StandardCharsets.US_ASCII));
            }
            out.writeInt(length);
            out.write(new byte[16]);
            bad.setSoTimeout(10_000);
            assertThat(readsEnd(bad)).isTrue();
            assertThat(failures).hasSize(1);
            DataOutputStream other = new DataOutputStream(good.getOutputStream());
            writeFrame(other, ADDRESS.getBytes(StandardCharsets.US_ASCII));
            writeFrame(other, new byte[100_000]);
            assertThat(received.take()).isEqualTo(100_000);
            assertThat(received).isEmpty();
        }
    }

    @Test
    void framesThatArriveWithTheAddressAreHandled() throws Exception {
        try (Socket s = connect(listen())) {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            DataOutputStream out = new DataOutputStream(bytes);
            writeFrame(out, ADDRESS.getBytes(StandardCharsets.US_ASCII));
            writeFrame(out, new byte[1_000]);
            writeFrame(out, new byte[2_000]);
            s.getOutputStream().write(bytes.toByteArray());
            assertThat(received.take()).isEqualTo(1_000);
            assertThat(received.take()).isEqualTo(2_000);
        }
        assertThat(failures).isEmpty();
    }

    private int listen() throws IOException {
        int port;
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            port = s.getLocalPort();
        }
        loop.onFailure(failures::add);
        new PeerTransport(loop, "127.0.0.1:" + port, frame -> received.add(frame.length), (peer, up) -> {})
                .listen(new InetSocketAddress("127.0.0.1", port));
        return port;
    }

    private static Socket connect(int port) throws IOException {
        return new Socket("127.0.0.1", port);
    }

    private static void writeFrame(DataOutputStream out, byte[] frame) throws IOException {
        out.writeInt(frame.length);
        out.write(frame);
    }

    /** Whether the other side closes or resets the connection before the read times out. */
    private static boolean readsEnd(Socket s) throws IOException {
        try {
            return s.getInputStream().read() < 0;
        } catch (java.net.SocketTimeoutException e) {
            return false;
        } catch (IOException e) {
            return true;
        }
    }
}
