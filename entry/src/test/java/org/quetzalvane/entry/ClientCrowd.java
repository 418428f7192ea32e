package org.quetzalvane.entry;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;

import org.quetzalvane.platform.standin.CallerClient;

/**
 * Connections of clients that send requests of legal size which cost a node much more than their bytes, and stay open
 * for as long as the node lets them. Confined to the thread of the test.
 */
final class ClientCrowd implements AutoCloseable {
    /** Somewhat less than the published limit of a head, bytes. */
    private static final int HEAD_BYTES = 16_000;

    private static final int TRAILER_BYTES = 16_000;
    private static final int BODY_BYTES = 60_000;
    private static final int PIPELINED = 6;
    private static final int LONG_PATH = 7_000;
    private static final int LONG_ID = 15_000;
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final int ROUNDS = 40;
    private static final long ROUND_PAUSE_MS = 50;

    private final List<Member> members = new ArrayList<>();

    /** What each client sends. */
    enum Kind {
        /** Very many header lines; all but the last byte of the body. */
        LINES_THEN_SHORT_BODY(i -> head(i, "POST", "Content-Length: 10\r\n", "a:\r\n") + "\r\n123456789"),
        /** Very many header lines without an end. */
        ENDLESS_LINES(i -> head(i, "POST", "", "a:\r\n")),
        /** Lines that continue a header. */
        FOLDED_LINES(i -> head(i, "POST", "Content-Length: 10\r\na: b\r\n", " c\r\n") + "\r\n123456789"),
        /** Names that are all different, without values. */
        DISTINCT_NAMES(i -> distinctNames(i) + "\r\n123456789"),
        /** Very many lines behind the last chunk, without an end. */
        TRAILERS(i -> head(i, "POST", "Transfer-Encoding: chunked\r\n", "") + "\r\n1\r\nx\r\n0\r\n"
                + "a:\r\n".repeat(TRAILER_BYTES / 4)),
        /** Whole requests with very many header lines, one behind the other. */
        PIPELINED_LINES(i -> {
            StringBuilder all = new StringBuilder();
            for (int n = 0; n < PIPELINED; n++) {
                all.append(head(i * PIPELINED + n, "POST", "Content-Length: 0\r\n", "a:\r\n"))
                        .append("\r\n");
            }
            return all.toString();
        }),
        /** Whole requests of long ids for paths that no route has, one behind the other. */
        LONG_TEXTS(i -> ("POST /unknown" + "p".repeat(LONG_PATH)
                        + " HTTP/1.1\r\nHost: h.example\r\n" + CallerClient.DEADLINE_HEADER + ": 8000\r\n"
                        + "Content-Length: 0\r\n"
                        + CallerClient.ID_HEADER + ": " + "i".repeat(LONG_ID) + "\r\n\r\n")
                .repeat(PIPELINED)),
        /** A body in large chunks that stops short of its end. */
        LARGE_CHUNKS(i -> head(i, "POST", "Transfer-Encoding: chunked\r\n", "") + "\r\n"
                + Integer.toHexString(BODY_BYTES) + "\r\n" + "x".repeat(BODY_BYTES - 1)),
        /** A body in chunks of one byte that stops short of its end. */
        SMALL_CHUNKS(i ->
                head(i, "POST", "Transfer-Encoding: chunked\r\n", "") + "\r\n" + "1\r\nx\r\n".repeat(BODY_BYTES / 6)),
        /** A whole request, whose response is not read. */
        WHOLE(i -> head(i, "POST", "Content-Length: 0\r\n", "") + "\r\n"),
        /** A length of a body that does not come. */
        STATED_LENGTH(i -> head(i, "POST", "Content-Length: 4000000\r\n", "") + "\r\n"),
        /** Nothing. */
        SILENT(i -> ""),
        /** The beginning of a head. */
        BEGUN_HEAD(i -> "POST /once/x HTTP/1.1\r\n");

        private final IntFunction<String> bytes;

        Kind(IntFunction<String> bytes) {
            this.bytes = bytes;
        }
    }

    private static final class Member {
        private final SocketChannel channel;
        private final ByteBuffer left;

        Member(SocketChannel channel, String bytes) {
            this.channel = channel;
            this.left = ByteBuffer.wrap(bytes.getBytes(StandardCharsets.ISO_8859_1));
        }

        /** Sends what the connection takes now; returns whether anything is left to send. */
        boolean send() throws IOException {
            channel.write(left);
            return left.hasRemaining();
        }
    }

    /** Connects clients to an address of a node, IP:PORT, and sends for as long as the node reads. */
    void join(String node, Kind kind, int clients) throws Exception {
        int colon = node.indexOf(':');
        InetSocketAddress to =
                new InetSocketAddress(node.substring(0, colon), Integer.parseInt(node.substring(colon + 1)));
        List<Member> sending = new ArrayList<>();
        for (int i = 0; i < clients; i++) {
            SocketChannel c = connect(to);
            if (c != null) {
                sending.add(new Member(c, kind.bytes.apply(i)));
            }
        }
        members.addAll(sending);
        for (int round = 0; round < ROUNDS && !sending.isEmpty(); round++) {
            sending.removeIf(m -> !sendSome(m));
            TimeUnit.MILLISECONDS.sleep(ROUND_PAUSE_MS);
        }
    }

    /** Closes every third connection. */
    void leaveInPart() throws IOException {
        for (int i = 0; i < members.size(); i += 3) {
            members.get(i).channel.close();
        }
    }

    /** Closes all connections. */
    @Override
    public void close() throws IOException {
        for (Member m : members) {
            m.channel.close();
        }
    }

    /** A connection, or null if the node does not accept one. */
    private static SocketChannel connect(InetSocketAddress to) throws IOException {
        SocketChannel c = SocketChannel.open();
        try {
            Socket s = c.socket();
            s.connect(to, CONNECT_TIMEOUT_MS);
            c.configureBlocking(false);
            return c;
        } catch (IOException e) {
            // The node refuses connections, or leaves them waiting, when it has too many.
            c.close();
            return null;
        }
    }

    private static boolean sendSome(Member m) {
        try {
            return m.send();
        } catch (IOException e) {
            // The node has closed the connection.
            return false;
        }
    }

    /** A head up to its blank line that repeats a line up to the published limit. */
    private static String head(int i, String method, String headers, String line) {
        String begin = method + " /once/x HTTP/1.1\r\nHost: h.example\r\n" + CallerClient.ID_HEADER + ": crowd-" + i
                + "\r\n" + CallerClient.DEADLINE_HEADER + ": 8000\r\n" + headers;
        return line.isEmpty() ? begin : begin + line.repeat((HEAD_BYTES - begin.length()) / line.length());
    }

    private static String distinctNames(int i) {
        StringBuilder all = new StringBuilder(head(i, "POST", "Content-Length: 10\r\n", ""));
        for (int n = 0; all.length() < HEAD_BYTES; n++) {
            all.append(Integer.toString(n, Character.MAX_RADIX)).append(":\r\n");
        }
        return all.toString();
    }
}
