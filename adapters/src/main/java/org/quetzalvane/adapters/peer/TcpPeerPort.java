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
 * Peers over TCP, one connection to each, opened on demand.
 *
 * <p>A call that hears nothing within the timeout fails; a connection that stayed silent as a whole for as long is
 * closed, so that the next call opens a new one. Thread-safe.
 */
public final class TcpPeerPort implements PeerPort, AutoCloseable {
    private static final int CONNECT_TIMEOUT_MILLIS = 1000;
    private static final int HANDSHAKE_TIMEOUT_MILLIS = 2000;

    private final Handshake handshake;
    private final Handler handler;
    private final Scheduler scheduler;
    private final Duration callTimeout;
    private final FrameListener meter;
    private final ExecutorService threads;
    private final ServerSocket server;
    private final Map<String, PeerConnection> outgoing = new ConcurrentHashMap<>();
    private final Set<PeerConnection> incoming = ConcurrentHashMap.newKeySet();

    private TcpPeerPort(Builder b) throws IOException {
        this.handshake = new Handshake(b.cluster, b.secret);
        this.handler = b.handler;
        this.scheduler = b.scheduler;
        this.callTimeout = b.callTimeout;
        this.meter = b.frameListener;
        this.threads = Executors.newCachedThreadPool(r -> {
            Thread t = new Thread(r, "peer");
            t.setDaemon(true);
            return t;
        });
        this.server = new ServerSocket();
        server.setReuseAddress(true);
    }

    /** Collects the settings of a port. Not thread-safe. */
    public static final class Builder {
        private final String cluster;
        private final String secret;
        private final Scheduler scheduler;
        private Handler handler = (m, reply) -> reply.end(new PeerMessage.Failure(0, "nothing is served here"));
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

        public Builder frameListener(FrameListener m) {
            frameListener = m;
            return this;
        }

        /** Starts to listen on {@code ip:port}. */
        public TcpPeerPort listen(String address) throws IOException {
            TcpPeerPort port = new TcpPeerPort(this);
            port.server.bind(socketAddress(address));
            port.threads.execute(port::acceptLoop);
            return port;
        }

        /** A port that only calls. */
        public TcpPeerPort callOnly() throws IOException {
            return new TcpPeerPort(this);
        }
    }

    public static Builder builder(String cluster, String secret, Scheduler scheduler) {
        return new Builder(cluster, secret, scheduler);
    }

    /** The port that it listens on; chosen by the system when it was told to listen on port 0. */
    public int localPort() {
        return server.getLocalPort();
    }

    @Override
    public CompletableFuture<PeerMessage> call(String address, PeerMessage message, Consumer<PeerMessage> parts) {
        CompletableFuture<PeerMessage> result = new CompletableFuture<>();
        threads.execute(() -> {
            try {
                callOn(connection(address), message, parts, result);
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

    private void callOn(
            PeerConnection c, PeerMessage message, Consumer<PeerMessage> parts, CompletableFuture<PeerMessage> result) {
        PeerCallWatch watch = new PeerCallWatch(scheduler, callTimeout, c, result);
        watch.arm();
        Consumer<PeerMessage> watched = part -> {
            watch.progress();
            parts.accept(part);
        };
        c.call(message, watched).whenComplete((m, failure) -> {
            watch.cancel();
            if (failure == null) {
                result.complete(m);
            } else {
                result.completeExceptionally(failure);
            }
        });
    }

    private PeerConnection connection(String address) throws IOException {
        PeerConnection present = outgoing.get(address);
        if (present != null && !present.isClosed()) {
            return present;
        }
        synchronized (this) {
            PeerConnection again = outgoing.get(address);
            if (again != null && !again.isClosed()) {
                return again;
            }
            Socket socket = new Socket();
            socket.connect(socketAddress(address), CONNECT_TIMEOUT_MILLIS);
            PeerConnection opened = open(socket, true, c -> outgoing.remove(address, c));
            outgoing.put(address, opened);
            threads.execute(opened::readLoop);
            return opened;
        }
    }

    private PeerConnection open(Socket socket, boolean client, Consumer<PeerConnection> onClose) throws IOException {
        try {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(HANDSHAKE_TIMEOUT_MILLIS);
            PeerConnection c = new PeerConnection(socket, handshake, client, handler, meter, onClose);
            socket.setSoTimeout(0);
            return c;
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
            PeerConnection c = open(socket, false, incoming::remove);
            incoming.add(c);
            c.readLoop();
        } catch (IOException | QuetzalvaneException e) {
            closeQuietly(socket);
        }
    }

    private static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            Thread.onSpinWait();
        }
    }

    private static InetSocketAddress socketAddress(String address) {
        int colon = address.lastIndexOf(':');
        return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }
}
