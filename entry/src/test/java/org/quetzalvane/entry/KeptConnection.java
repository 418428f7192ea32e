package org.quetzalvane.entry;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

import org.quetzalvane.platform.standin.CallerClient;

/** Connection of a caller that sends requests on it for as long as it is open. Not thread-safe. */
final class KeptConnection implements AutoCloseable {
    private static final int READ_TIMEOUT_MS = 20_000;
    private static final int PARTS = 8;
    private static final String NO_BODY = "Content-Length: 0";
    private static final String LENGTH = "\r\ncontent-length:";

    private final Socket socket;
    private final InputStream in;
    private boolean open = true;
    private long sentNanos;
    private int status;

    /**
     * A request.
     *
     * @param id its id
     * @param path its path
     * @param adapter name of an adapter, or null
     * @param bodyBytes length of its body
     * @param sendMs time in which the body is sent
     */
    record Request(String id, String path, String adapter, int bodyBytes, long sendMs) {}

    /** Connects to IP:PORT. */
    KeptConnection(String node) throws IOException {
        int colon = node.indexOf(':');
        socket = new Socket(node.substring(0, colon), Integer.parseInt(node.substring(colon + 1)));
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(READ_TIMEOUT_MS);
        in = new BufferedInputStream(socket.getInputStream());
    }

    /** Whether the next request may be sent. */
    boolean open() {
        return open;
    }

    /** Sends a request and reads until its response is complete or the connection has ended. */
    LostJudge.Outcome call(String node, Request r) throws InterruptedException {
        boolean sent = send(r);
        return read(node, r, sent);
    }

    /** The same for requests without bodies that are sent together. */
    List<LostJudge.Outcome> callTogether(String node, List<Request> requests) throws InterruptedException {
        StringBuilder heads = new StringBuilder();
        requests.forEach(r -> heads.append(head(r)));
        boolean sent = sendTogether(heads.toString());
        List<LostJudge.Outcome> outcomes = new ArrayList<>();
        for (Request r : requests) {
            outcomes.add(read(node, r, sent));
        }
        return outcomes;
    }

    /** Waits for the first byte of a response; returns false if none arrives in the time, or the connection ends. */
    boolean awaitResponse(int ms) throws IOException {
        socket.setSoTimeout(ms);
        try {
            return in.read() >= 0;
        } catch (SocketTimeoutException e) {
            return false;
        }
    }

    private LostJudge.Outcome read(String node, Request r, boolean sent) {
        status = 0;
        boolean complete = false;
        try {
            complete = open && readResponse();
        } catch (SocketTimeoutException e) {
            status = -1;
        } catch (IOException e) {
            open = false;
        }
        open &= complete && sent;
        long end = System.nanoTime();
        // A request that was not sent whole was not read whole either.
        return new LostJudge.Outcome(r.id(), node, r.path(), sent ? sentNanos : end, end, status, complete);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }

    private static String head(Request r) {
        return CallerClient.request("POST", r.path(), r.id(), r.adapter(), "")
                .replace(NO_BODY, "Content-Length: " + r.bodyBytes());
    }

    private boolean sendTogether(String heads) {
        try {
            sentNanos = System.nanoTime();
            socket.getOutputStream().write(heads.getBytes(StandardCharsets.ISO_8859_1));
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /** Sends a request; returns false if the connection ends before it is sent whole. */
    boolean send(Request r) throws InterruptedException {
        String head = head(r);
        try {
            OutputStream out = socket.getOutputStream();
            // Taken before the last write, since the node may answer before that returns.
            sentNanos = System.nanoTime();
            out.write(head.getBytes(StandardCharsets.ISO_8859_1));
            for (int i = 0; i < PARTS && r.bodyBytes() > 0; i++) {
                TimeUnit.MILLISECONDS.sleep(r.sendMs() / PARTS);
                sentNanos = System.nanoTime();
                int from = r.bodyBytes() * i / PARTS;
                out.write(new byte[r.bodyBytes() * (i + 1) / PARTS - from]);
            }
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    private boolean readResponse() throws IOException {
        String head = readUntilBlankLine();
        status = Integer.parseInt(head.split(" ", 3)[1]);
        int at = head.indexOf(LENGTH);
        boolean delimited = true;
        if (at >= 0) {
            int length = Integer.parseInt(value(head, at + LENGTH.length()));
            if (in.readNBytes(length).length < length) {
                return false;
            }
        } else if (head.contains("\r\ntransfer-encoding: chunked")) {
            readChunks();
        } else {
            in.readAllBytes();
            delimited = false;
        }
        open = delimited && !head.contains("\r\nconnection: close");
        return true;
    }

    private void readChunks() throws IOException {
        int length;
        do {
            length = Integer.parseInt(readLine(), 16);
            if (in.readNBytes(length).length < length) {
                throw new EOFException();
            }
            readLine();
        } while (length > 0);
    }

    private String readUntilBlankLine() throws IOException {
        StringBuilder head = new StringBuilder();
        for (String line = readLine(); !line.isEmpty(); line = readLine()) {
            head.append(line).append("\r\n");
        }
        return head.toString().toLowerCase(Locale.ROOT);
    }

    private String readLine() throws IOException {
        StringBuilder line = new StringBuilder();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                throw new EOFException();
            }
            line.append((char) b);
        }
        return line.toString().trim();
    }

    private static String value(String head, int from) {
        return head.substring(from, head.indexOf("\r\n", from)).trim();
    }
}
