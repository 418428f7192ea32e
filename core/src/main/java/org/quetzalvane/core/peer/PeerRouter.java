package org.quetzalvane.core.peer;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.quetzalvane.core.ResultCode;

/**
 * Hands the messages of other nodes to the part that serves their type. Thread-safe.
 *
 * <p>A type that nobody serves is answered with a failure, so that nodes of different program versions can talk.
 */
public final class PeerRouter implements PeerPort.Handler {
    private final Map<Class<?>, PeerPort.Handler> handlers = new ConcurrentHashMap<>();

    /**
     * Serves one type of message.
     *
     * @param <T> the type
     */
    @FunctionalInterface
    public interface TypedHandler<T extends PeerMessage> {
        void handle(T message, PeerPort.Reply reply);
    }

    /** Registers the part that serves a type. */
    public <T extends PeerMessage> void serve(Class<T> type, TypedHandler<T> handler) {
        handlers.put(type, (message, reply) -> handler.handle(type.cast(message), reply));
    }

    @Override
    public void handle(PeerMessage message, PeerPort.Reply reply) {
        PeerPort.Handler handler = handlers.get(message.getClass());
        if (handler == null) {
            reply.end(new PeerMessage.Failure(ResultCode.FRAME_INVALID.number(), "not served here"));
        } else {
            handler.handle(message, reply);
        }
    }
}
