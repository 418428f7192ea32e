package org.quetzalvane.proofs;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** A TCP hop between a node and an endpoint that can be cut or fall silent. Thread-safe. */
final class Relay implements AutoCloseable {
    private static final int BUFFER_BYTES = 8192;

    private final String targetIp;
    private final int targetPort;
    private final ServerSocket server;
    private final List<Link> links = new CopyOnWriteArrayList<>();
    private final AtomicInteger answersToCut = new AtomicInteger();

    /** Relays to {@code http://ip:port}. */
    Relay(String targetUrl) {
        String address = targetUrl.substring("http://".length());
        int colon = address.lastIndexOf(':');
        targetIp = address.substring(0, colon);
        targetPort = Integer.parseInt(address.substring(colon + 1));
        try {
            server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        thread(this::acceptLoop);
    }

    String url() {
        return "http://127.0.0.1:" + server.getLocalPort();
    }

    /** Cuts the connection of the next so many answers before their first byte passes. */
    void cutAnswers(int count) {
        answersToCut.set(count);
    }

    /** Cuts every present connection. */
    void cut() {
        links.forEach(Link::close);
    }

    /** Makes every present connection swallow what is sent on it, both ways; later ones work. */
    void silence() {
        links.forEach(l -> l.silent = true);
    }

    @Override
    public void close() throws IOException {
        server.close();
        cut();
    }

    private void acceptLoop() {
        while (!server.isClosed()) {
            try {
                Link link = new Link(server.accept(), new Socket(targetIp, targetPort));
                links.add(link);
                thread(() -> link.pump(link.near, link.far, false));
                thread(() -> link.pump(link.far, link.near, true));
            } catch (IOException e) {
                continue;
            }
        }
    }

    private static void thread(Runnable body) {
        Thread t = new Thread(body, "relay");
        t.setDaemon(true);
        t.start();
    }

    private final class Link {
        private final Socket near;
        private final Socket far;
        private volatile boolean silent;

        Link(Socket near, Socket far) {
            this.near = near;
            this.far = far;
        }

        void pump(Socket from, Socket to, boolean answers) {
            byte[] buffer = new byte[BUFFER_BYTES];
            try {
                InputStream in = from.getInputStream();
                OutputStream out = to.getOutputStream();
                for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
                    if (answers && answersToCut.getAndUpdate(c -> Math.max(0, c - 1)) > 0) {
                        break;
                    }
                    if (!silent) {
                        out.write(buffer, 0, n);
                    }
                }
            } catch (IOException e) {
                silent = true;
            }
            close();
        }

        void close() {
            try {
                near.close();
                far.close();
            } catch (IOException e) {
                silent = true;
            }
        }
    }
}
