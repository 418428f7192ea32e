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
 * <p>Invariant: each call completes once, with the last message of its reply or with a failure when the connection
 * closes. Thread-safe; writes are serialised by the monitor of the output stream, a leaf lock.
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

    PeerConnection(
            Socket socket,
            Handshake handshake,
            boolean client,
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
        handshake.run(in, out, client);
    }

    /** Reads frames until the connection closes; runs on its own thread. */
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
