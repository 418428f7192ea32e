package org.quetzalvane.adapters.peer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Consumer;

import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.exc.QuetzalvaneException;
import org.quetzalvane.core.peer.PeerMessage;
import org.quetzalvane.core.peer.PeerPort;
import org.quetzalvane.core.time.Scheduler;

/**
 * {@link PeerPort} over TCP, with one outgoing connection to each peer, opened on demand.
 *
 * <p>Connections are opened one at a time. A failed connect or handshake fails the call with
 * {@link ResultCode#PEER_UNAVAILABLE}. A call without progress within the call timeout fails with
 * {@link ResultCode#OUTCOME_UNKNOWN}; if no frame at all arrived on its connection in that time, the connection is
 * closed, and the next call opens a new one. Thread-safe.
 */
public final class TcpPeerPort implements PeerPort, AutoCloseable {
    private static final int CONNECT_TIMEOUT_MILLIS = 1000;
    private static final int HANDSHAKE_TIMEOUT_MILLIS = 2000;

    private final Handshake handshake;
    private final Handler handler;
    private final Scheduler scheduler;
    private final Duration callTimeout;
    private final FrameListener frameListener;
    private final ExecutorService threads;
    private final ServerSocket server;
    private final Map<String, PeerConnection> outgoing = new ConcurrentHashMap<>();
    private final Set<PeerConnection> incoming = ConcurrentHashMap.newKeySet();

    private TcpPeerPort(Builder builder) throws IOException {
        this.handshake = new Handshake(builder.cluster, builder.secret);
        this.handler = builder.handler;
        this.scheduler = builder.scheduler;
        this.callTimeout = builder.callTimeout;
        this.frameListener = builder.frameListener;
        this.threads = Executors.newCachedThreadPool(r -> {
            Thread t = new Thread(r, "peer");
            t.setDaemon(true);
            return t;
        });
        this.server = new ServerSocket();
        server.setReuseAddress(true);
    }

    /** Builder of a peer port. Not thread-safe. */
    public static final class Builder {
        private final String cluster;
        private final String secret;
        private final Scheduler scheduler;
        private Handler handler =
                (m, reply) -> reply.end(new PeerMessage.Failure(0, "this node handles no peer messages"));
        private Duration callTimeout = Duration.ofSeconds(2);
        private FrameListener frameListener = FrameListener.none();

        private Builder(String cluster, String secret, Scheduler scheduler) {
            this.cluster = cluster;
            this.secret = secret;
            this.scheduler = scheduler;
        }

        public Builder handler(Handler h) {
            handler = h;
            return this;
        }

        public Builder callTimeout(Duration timeout) {
            callTimeout = timeout;
            return this;
        }

        public Builder frameListener(FrameListener listener) {
            frameListener = listener;
            return this;
        }

        /** Creates a peer port that listens on {@code ip:port}. */
        public TcpPeerPort listen(String address) throws IOException {
            TcpPeerPort port = new TcpPeerPort(this);
            port.server.bind(socketAddress(address));
            port.threads.execute(port::acceptLoop);
            return port;
        }

        /** Creates a peer port that sends messages but does not listen. */
        public TcpPeerPort callOnly() throws IOException {
            return new TcpPeerPort(this);
        }
    }

    public static Builder builder(String cluster, String secret, Scheduler scheduler) {
        return new Builder(cluster, secret, scheduler);
    }

    /**
     * Returns the TCP port number of the server socket, which the system chooses if 0 was requested, or -1 if this peer
     * port does not listen.
     */
    public int localPort() {
        return server.getLocalPort();
    }

    @Override
    public CompletableFuture<PeerMessage> call(String address, PeerMessage message, Consumer<PeerMessage> parts) {
        CompletableFuture<PeerMessage> result = new CompletableFuture<>();
        threads.execute(() -> {
            try {
                callOver(connection(address), message, parts, result);
            } catch (IOException | QuetzalvaneException e) {
                result.completeExceptionally(
                        new QuetzalvaneException(ResultCode.PEER_UNAVAILABLE, address + ": " + e.getMessage(), e));
            }
        });
        return result;
    }

    @Override
    public void close() throws IOException {
        server.close();
        outgoing.values().forEach(PeerConnection::close);
        incoming.forEach(PeerConnection::close);
        threads.shutdownNow();
    }

    private void callOver(
            PeerConnection connection,
            PeerMessage message,
            Consumer<PeerMessage> parts,
            CompletableFuture<PeerMessage> result) {
        PeerCallTimer timer = new PeerCallTimer(scheduler, callTimeout, connection, result);
        timer.start();
        Consumer<PeerMessage> timedParts = part -> {
            timer.recordProgress();
            parts.accept(part);
        };
        connection.call(message, timedParts).whenComplete((reply, failure) -> {
            timer.cancel();
            if (failure == null) {
                result.complete(reply);
            } else {
                result.completeExceptionally(failure);
            }
        });
    }

    private PeerConnection connection(String address) throws IOException {
        PeerConnection current = outgoing.get(address);
        if (current != null && !current.isClosed()) {
            return current;
        }
        synchronized (this) {
            PeerConnection rechecked = outgoing.get(address);
            if (rechecked != null && !rechecked.isClosed()) {
                return rechecked;
            }
            Socket socket = new Socket();
            socket.connect(socketAddress(address), CONNECT_TIMEOUT_MILLIS);
            PeerConnection opened = open(socket, true, c -> outgoing.remove(address, c));
            outgoing.put(address, opened);
            threads.execute(opened::readLoop);
            return opened;
        }
    }

    private PeerConnection open(Socket socket, boolean connecting, Consumer<PeerConnection> onClose)
            throws IOException {
        try {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(HANDSHAKE_TIMEOUT_MILLIS);
            PeerConnection connection =
                    new PeerConnection(socket, handshake, connecting, handler, frameListener, onClose);
            socket.setSoTimeout(0);
            return connection;
        } catch (IOException | QuetzalvaneException e) {
            socket.close();
            throw e;
        }
    }

    private void acceptLoop() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                threads.execute(() -> serve(socket));
            } catch (IOException e) {
                if (server.isClosed()) {
                    return;
                }
            }
        }
    }

    private void serve(Socket socket) {
        try {
            PeerConnection connection = open(socket, false, incoming::remove);
            incoming.add(connection);
            connection.readLoop();
        } catch (IOException | QuetzalvaneException e) {
            closeQuietly(socket);
        }
    }

    private static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // the connection has failed, and the socket is not used any more
            Thread.onSpinWait();
        }
    }

    private static InetSocketAddress socketAddress(String address) {
        int colon = address.lastIndexOf(':');
        return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }
}
