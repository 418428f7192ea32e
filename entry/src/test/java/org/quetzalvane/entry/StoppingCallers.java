package org.quetzalvane.entry;

import java.io.IOException;
import java.io.InputStream;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

import org.quetzalvane.platform.standin.CallerClient;

/**
 * Callers of one node, each of which sends one or two requests on a connection that it would keep, and reads until each
 * response is complete or the connection has ended. Confined to the thread of the test.
 */
final class StoppingCallers implements AutoCloseable {
    private static final int TIMEOUT_MS = 30_000;
    private static final String HEAD_END = "\r\n\r\n";

    private final String node;
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final List<Future<List<Outcome>>> sent = new ArrayList<>();

    /**
     * What a caller saw of one request.
     *
     * @param id id of the request
     * @param path path of the request
     * @param sentNanos time at which it was sent
     * @param endNanos time at which its response was complete or its connection ended
     * @param status status of the response; 0 if none began, -1 if no connection could be made
     * @param complete whether the response was complete
     */
    record Outcome(String id, String path, long sentNanos, long endNanos, int status, boolean complete) {
        boolean connected() {
            return status >= 0;
        }
    }

    /** Calls the node at IP:PORT. */
    StoppingCallers(String node) {
        this.node = node;
    }

    /** Sends requests, pipelined on one connection. */
    void send(String path, String adapter, String... ids) {
        sent.add(threads.submit(() -> call(path, adapter, List.of(ids))));
    }

    /** Waits for the outcomes of all requests. */
    List<Outcome> outcomes() throws Exception {
        List<Outcome> all = new ArrayList<>();
        for (Future<List<Outcome>> f : sent) {
            all.addAll(f.get());
        }
        return all;
    }

    private List<Outcome> call(String path, String adapter, List<String> ids) throws IOException {
        List<Outcome> out = new ArrayList<>();
        long start = System.nanoTime();
        StringBuilder requests = new StringBuilder();
        ids.forEach(id -> requests.append(CallerClient.request("POST", path, id, adapter, "")));
        try (Socket s = new Socket()) {
            int colon = node.indexOf(':');
            String host = node.substring(0, colon);
            s.connect(new InetSocketAddress(host, Integer.parseInt(node.substring(colon + 1))), TIMEOUT_MS);
            s.setSoTimeout(TIMEOUT_MS);
            s.getOutputStream().write(requests.toString().getBytes(StandardCharsets.ISO_8859_1));
            ids.forEach(id -> out.add(read(s, id, path, start)));
        } catch (ConnectException e) {
            ids.forEach(id -> out.add(new Outcome(id, path, start, System.nanoTime(), -1, false)));
        }
        return out;
    }

    private static Outcome read(Socket s, String id, String path, long start) {
        StringBuilder text = new StringBuilder();
        try {
            InputStream in = s.getInputStream();
            int b = 0;
            while (!isComplete(text) && b >= 0) {
                b = in.read();
                if (b >= 0) {
                    text.append((char) b);
                }
            }
        } catch (IOException e) {
            // The connection was reset; the response is judged by what arrived.
            return outcome(id, path, start, text);
        }
        return outcome(id, path, start, text);
    }

    private static Outcome outcome(String id, String path, long start, StringBuilder text) {
        int status = text.length() < 12 ? 0 : Integer.parseInt(text.substring(9, 12));
        return new Outcome(id, path, start, System.nanoTime(), status, isComplete(text));
    }

    private static boolean isComplete(StringBuilder text) {
        int end = text.indexOf(HEAD_END);
        if (end < 0) {
            return false;
        }
        String head = text.substring(0, end).toLowerCase(Locale.ROOT);
        int length = head.indexOf("content-length: ");
        if (length < 0) {
            return text.toString().endsWith("\r\n0" + HEAD_END);
        }
        String value = head.substring(length + "content-length: ".length())
                .lines()
                .findFirst()
                .orElse("0");
        return text.length() - end - HEAD_END.length() >= Integer.parseInt(value.trim());
    }

    @Override
    public void close() {
        threads.shutdownNow();
    }
}
