package org.quetzalvane.adapters.peer;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.exc.QuetzalvaneException;
import org.quetzalvane.core.peer.PeerMessage;
import org.quetzalvane.core.peer.PeerPort;

/**
 * One connection between two nodes; both sides may call.
 *
 * <p>Invariant: every call ends once, with its last answer or with a failure when the connection breaks. Thread-safe;
 * writes are serialised by the output's monitor, a leaf lock.
 */
final class PeerConnection implements AutoCloseable {
    private final Socket socket;
    private final DataInputStream in;
    private final DataOutputStream out;
    private final PeerPort.Handler handler;
    private final FrameListener meter;
    private final Consumer<PeerConnection> onClose;
    private final AtomicLong sequence = new AtomicLong();
    private final Map<Long, Call> calls = new ConcurrentHashMap<>();
    private volatile boolean closed;
    private volatile long framesRead;

    private record Call(Consumer<PeerMessage> parts, CompletableFuture<PeerMessage> end) {}

    PeerConnection(
            Socket socket,
            Handshake handshake,
            boolean client,
            PeerPort.Handler handler,
            FrameListener meter,
            Consumer<PeerConnection> onClose)
            throws IOException {
        this.socket = socket;
        this.in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
        this.out = new DataOutputStream(new BufferedOutputStream(socket.getOutputStream()));
        this.handler = handler;
        this.meter = meter;
        this.onClose = onClose;
        handshake.run(in, out, client);
    }

    /** Reads frames until the connection ends; runs on a thread of its own. */
    void readLoop() {
        try {
            while (!closed) {
                byte[] frame = FrameCodec.read(in);
                framesRead++;
                receive(FrameCodec.decode(frame, Frame.class), frame.length);
            }
        } catch (IOException | RuntimeException e) {
            closeWith(e);
        }
    }

    CompletableFuture<PeerMessage> call(PeerMessage message, Consumer<PeerMessage> parts) {
        long id = sequence.incrementAndGet();
        Call call = new Call(parts, new CompletableFuture<>());
        calls.put(id, call);
        send(new Frame(id, false, true, message));
        if (closed) {
            call.end.completeExceptionally(broken("the connection is closed"));
        }
        return call.end.whenComplete((m, f) -> calls.remove(id));
    }

    /** Number of frames read so far; a count that stands still marks a silent connection. */
    long framesRead() {
        return framesRead;
    }

    boolean isClosed() {
        return closed;
    }

    @Override
    public void close() {
        closeWith(new IOException("closed"));
    }

    private void receive(Frame f, int bodyBytes) {
        if (f.message() == null) {
            throw new QuetzalvaneException(ResultCode.FRAME_INVALID, "a frame without a message");
        }
        meter.received(f.message(), bodyBytes + FrameCodec.LENGTH_BYTES);
        if (!f.answer()) {
            handler.handle(f.message(), new FrameReply(f.id()));
            return;
        }
        Call call = calls.get(f.id());
        if (call == null) {
            return;
        }
        if (!f.last()) {
            call.parts.accept(f.message());
        } else if (f.message() instanceof PeerMessage.Failure) {
            call.end.completeExceptionally(unavailable(((PeerMessage.Failure) f.message()).message()));
        } else {
            call.end.complete(f.message());
        }
    }

    private void send(Frame frame) {
        byte[] body = FrameCodec.encode(frame);
        try {
            synchronized (out) {
                FrameCodec.write(out, body);
            }
            meter.sent(frame.message(), body.length + FrameCodec.LENGTH_BYTES);
        } catch (IOException e) {
            closeWith(e);
        }
    }

    private void closeWith(Exception cause) {
        if (closed) {
            return;
        }
        closed = true;
        try {
            socket.close();
        } catch (IOException e) {
            cause.addSuppressed(e);
        }
        onClose.accept(this);
        calls.values().forEach(c -> c.end.completeExceptionally(broken(String.valueOf(cause.getMessage()))));
    }

    private static QuetzalvaneException unavailable(String message) {
        return new QuetzalvaneException(ResultCode.PEER_UNAVAILABLE, message);
    }

    private static QuetzalvaneException broken(String message) {
        return new QuetzalvaneException(ResultCode.OUTCOME_UNKNOWN, message);
    }

    private final class FrameReply implements PeerPort.Reply {
        private final long id;

        FrameReply(long id) {
            this.id = id;
        }

        @Override
        public boolean isOpen() {
            return !closed;
        }

        @Override
        public void part(PeerMessage message) {
            send(new Frame(id, true, false, message));
        }

        @Override
        public void end(PeerMessage message) {
            send(new Frame(id, true, true, message));
        }
    }
}
