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

/** TCP relay to an endpoint. Its connections can be closed or made to discard all data. Thread-safe. */
final class TcpRelay implements AutoCloseable {
    private static final int BUFFER_BYTES = 8192;

    private final String targetIp;
    private final int targetPort;
    private final ServerSocket server;
    private final List<RelayedConnection> relayedConnections = new CopyOnWriteArrayList<>();
    private final AtomicInteger responsesToCut = new AtomicInteger();

    /** Starts a relay to {@code http://ip:port}. */
    TcpRelay(String targetUrl) {
        String address = targetUrl.substring("http://".length());
        int colon = address.lastIndexOf(':');
        targetIp = address.substring(0, colon);
        targetPort = Integer.parseInt(address.substring(colon + 1));
        try {
            server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        startThread(this::acceptLoop);
    }

    String url() {
        return "http://127.0.0.1:" + server.getLocalPort();
    }

    /**
     * Closes the connection instead of relaying response data, for the next {@code count} reads of response data on any
     * connection.
     */
    void cutNextResponses(int count) {
        responsesToCut.set(count);
    }

    /** Closes all current connections. */
    void cutConnections() {
        relayedConnections.forEach(RelayedConnection::close);
    }

    /** Discards all further data on the current connections, in both directions; later connections work. */
    void silenceConnections() {
        relayedConnections.forEach(connection -> connection.silent = true);
    }

    @Override
    public void close() throws IOException {
        server.close();
        cutConnections();
    }

    private void acceptLoop() {
        while (!server.isClosed()) {
            try {
                RelayedConnection connection = new RelayedConnection(server.accept(), new Socket(targetIp, targetPort));
                relayedConnections.add(connection);
                startThread(() -> connection.copy(connection.clientSocket, connection.targetSocket, false));
                startThread(() -> connection.copy(connection.targetSocket, connection.clientSocket, true));
            } catch (IOException e) {
                continue;
            }
        }
    }

    private static void startThread(Runnable body) {
        Thread t = new Thread(body, "relay");
        t.setDaemon(true);
        t.start();
    }

    private final class RelayedConnection {
        private final Socket clientSocket;
        private final Socket targetSocket;
        private volatile boolean silent;

        RelayedConnection(Socket clientSocket, Socket targetSocket) {
            this.clientSocket = clientSocket;
            this.targetSocket = targetSocket;
        }

        void copy(Socket from, Socket to, boolean responses) {
            byte[] buffer = new byte[BUFFER_BYTES];
            try {
                InputStream in = from.getInputStream();
                OutputStream out = to.getOutputStream();
                for (int length = in.read(buffer); length >= 0; length = in.read(buffer)) {
                    if (responses && responsesToCut.getAndUpdate(c -> Math.max(0, c - 1)) > 0) {
                        break;
                    }
                    if (!silent) {
                        out.write(buffer, 0, length);
                    }
                }
            } catch (IOException e) {
                silent = true;
            }
            close();
        }

        void close() {
            try {
                clientSocket.close();
                targetSocket.close();
            } catch (IOException e) {
                silent = true;
            }
        }
    }
}
