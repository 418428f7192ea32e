package org.quetzalvane.core.peer;

import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/**
 * Port for messages to other nodes. Implementations are thread-safe and do not block the calling thread.
 *
 * <p>Futures fail with {@link org.quetzalvane.core.exc.QuetzalvaneException}: with
 * {@link org.quetzalvane.core.ResultCode#PEER_UNAVAILABLE} when the message certainly was not sent or the peer replied
 * with a {@link PeerMessage.Failure}, whose code is not passed on, and with
 * {@link org.quetzalvane.core.ResultCode#OUTCOME_UNKNOWN} when the connection broke or timed out before the last
 * message of the reply.
 */
public interface PeerPort {

    /** Sends a message and completes with the last message of the reply; the consumer receives the earlier ones. */
    CompletableFuture<PeerMessage> call(String address, PeerMessage message, Consumer<PeerMessage> parts);

    /** Sends a message to which the reply is a single message. */
    default CompletableFuture<PeerMessage> call(String address, PeerMessage message) {
        return call(address, message, part -> {});
    }

    /** Handles messages from other nodes. Must not block. */
    @FunctionalInterface
    interface Handler {
        void handle(PeerMessage message, Reply reply);
    }

    /** Sends the reply to one message: any number of parts, then one end. */
    interface Reply {

        /** Whether a reply can still be sent to the other node. */
        default boolean isOpen() {
            return true;
        }

        void part(PeerMessage message);

        void end(PeerMessage message);
    }
}
