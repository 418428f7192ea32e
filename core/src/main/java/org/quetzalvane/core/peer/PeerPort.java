package org.quetzalvane.core.peer;

import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/**
 * Exchange of messages with other nodes. Implementations are thread-safe and do not block the caller.
 *
 * <p>Futures fail with {@link org.quetzalvane.core.exc.QuetzalvaneException}: with
 * {@link org.quetzalvane.core.ResultCode#PEER_UNAVAILABLE} when the message certainly was not sent or the peer answered
 * that it does not serve it, and with {@link org.quetzalvane.core.ResultCode#OUTCOME_UNKNOWN} when the connection broke
 * or stayed silent before the last message of the answer.
 */
public interface PeerPort {

    /** Sends a message and completes with the last message of the answer; earlier parts go to the consumer. */
    CompletableFuture<PeerMessage> call(String address, PeerMessage message, Consumer<PeerMessage> parts);

    /** Sends a message whose answer is one message. */
    default CompletableFuture<PeerMessage> call(String address, PeerMessage message) {
        return call(address, message, part -> {});
    }

    /** Serves the messages of other nodes. Must not block. */
    @FunctionalInterface
    interface Handler {
        void handle(PeerMessage message, Reply reply);
    }

    /** Where the answer to one message goes: any number of parts, then one end. */
    interface Reply {

        /** Whether an answer can still reach the other node. */
        default boolean isOpen() {
            return true;
        }

        void part(PeerMessage message);

        void end(PeerMessage message);
    }
}
