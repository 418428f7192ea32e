package org.quetzalvane.core.peer;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.quetzalvane.core.ResultCode;

/**
 * Routes messages from other nodes to the handler of their type. Thread-safe.
 *
 * <p>The reply to a message without a handler is a failure, so that nodes of different program versions can
 * communicate.
 */
public final class PeerRouter implements PeerPort.Handler {
    private final Map<Class<?>, PeerPort.Handler> handlers = new ConcurrentHashMap<>();

    /**
     * Handles messages of one type.
     *
     * @param <T> type of the messages
     */
    @FunctionalInterface
    public interface TypedHandler<T extends PeerMessage> {
        void handle(T message, PeerPort.Reply reply);
    }

    /** Registers the handler of a type of message, in place of an earlier handler. */
    public <T extends PeerMessage> void register(Class<T> type, TypedHandler<T> handler) {
        handlers.put(type, (message, reply) -> handler.handle(type.cast(message), reply));
    }

    @Override
    public void handle(PeerMessage message, PeerPort.Reply reply) {
        PeerPort.Handler handler = handlers.get(message.getClass());
        if (handler == null) {
            reply.end(new PeerMessage.Failure(ResultCode.FRAME_INVALID.number(), "no handler for this message type"));
        } else {
            handler.handle(message, reply);
        }
    }
}
