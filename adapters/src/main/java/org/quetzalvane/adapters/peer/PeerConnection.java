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
 * One connection between two nodes, on which either side can call the other.
 *
 * <p>Invariant: each call that was sent completes once: with the last message of its reply, with
 * {@link ResultCode#PEER_UNAVAILABLE} if that message is a {@link PeerMessage.Failure}, or with
 * {@link ResultCode#OUTCOME_UNKNOWN} when the connection closes. Thread-safe; writes are synchronized on the output
 * stream, and no other lock is acquired meanwhile.
 */
final class PeerConnection implements AutoCloseable {
    private final Socket socket;
    private final DataInputStream in;
    private final DataOutputStream out;
    private final PeerPort.Handler handler;
    private final FrameListener frameListener;
    private final Consumer<PeerConnection> onClose;
    private final AtomicLong sequence = new AtomicLong();
    private final Map<Long, Call> calls = new ConcurrentHashMap<>();
    private volatile boolean closed;
    private volatile long framesRead;

    private record Call(Consumer<PeerMessage> parts, CompletableFuture<PeerMessage> end) {}

    /**
     * Runs the handshake and blocks until it ends; fails with {@link ResultCode#PEER_REJECTED},
     * {@link ResultCode#FRAME_INVALID} or an {@link IOException}.
     *
     * @param connecting whether this side opened the connection
     */
    PeerConnection(
            Socket socket,
            Handshake handshake,
            boolean connecting,
            PeerPort.Handler handler,
            FrameListener frameListener,
            Consumer<PeerConnection> onClose)
            throws IOException {
        this.socket = socket;
        this.in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
        this.out = new DataOutputStream(new BufferedOutputStream(socket.getOutputStream()));
        this.handler = handler;
        this.frameListener = frameListener;
        this.onClose = onClose;
        handshake.run(in, out, connecting);
    }

    /** Reads frames and calls the handler on the calling thread until the connection closes. */
    void readLoop() {
        try {
            while (!closed) {
                byte[] body = FrameCodec.read(in);
                framesRead++;
                receive(FrameCodec.decode(body, Frame.class), body.length);
            }
        } catch (IOException | RuntimeException e) {
            closeWith(e);
        }
    }

    /** Sends a message; {@code parts} receives each message of the reply but the last, which completes the future. */
    CompletableFuture<PeerMessage> call(PeerMessage message, Consumer<PeerMessage> parts) {
        long id = sequence.incrementAndGet();
        Call call = new Call(parts, new CompletableFuture<>());
        calls.put(id, call);
        send(new Frame(id, false, true, message));
        if (closed) {
            call.end.completeExceptionally(outcomeUnknown("connection is closed"));
        }
        return call.end.whenComplete((reply, failure) -> calls.remove(id));
    }

    /** Returns the number of frames read so far, which shows whether the peer sent anything in a period. */
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

    private void receive(Frame frame, int bodyLength) {
        if (frame.message() == null) {
            throw new QuetzalvaneException(ResultCode.FRAME_INVALID, "frame has no message");
        }
        frameListener.received(frame.message(), bodyLength + FrameCodec.LENGTH_BYTES);
        if (!frame.answer()) {
            handler.handle(frame.message(), new FrameReply(frame.id()));
            return;
        }
        Call call = calls.get(frame.id());
        if (call == null) {
            return;
        }
        if (!frame.last()) {
            call.parts.accept(frame.message());
        } else if (frame.message() instanceof PeerMessage.Failure) {
            call.end.completeExceptionally(unavailable(((PeerMessage.Failure) frame.message()).message()));
        } else {
            call.end.complete(frame.message());
        }
    }

    private void send(Frame frame) {
        byte[] body = FrameCodec.encode(frame);
        try {
            synchronized (out) {
                FrameCodec.write(out, body);
            }
            frameListener.sent(frame.message(), body.length + FrameCodec.LENGTH_BYTES);
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
        calls.values().forEach(c -> c.end.completeExceptionally(outcomeUnknown(String.valueOf(cause.getMessage()))));
    }

    private static QuetzalvaneException unavailable(String message) {
        return new QuetzalvaneException(ResultCode.PEER_UNAVAILABLE, message);
    }

    private static QuetzalvaneException outcomeUnknown(String message) {
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
