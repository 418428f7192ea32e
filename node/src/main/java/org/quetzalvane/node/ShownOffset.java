package org.quetzalvane.node;

import org.quetzalvane.adapters.http.HttpExchange;
import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.exc.QuetzalvaneException;
import org.quetzalvane.core.exc.RefusedException;
import org.quetzalvane.core.node.Coordinator;
import org.quetzalvane.core.request.Refusal;

/**
 * Makes a node that is behind the configuration offset a caller has shown catch up before it serves. Thread-safe.
 */
final class ShownOffset {
    /** Name of the field or query parameter in which callers show an offset. */
    static final String FIELD = "min_config_offset";

    private static final long RETRY_MILLIS = 500;

    private final Coordinator node;

    ShownOffset(Coordinator node) {
        this.node = node;
    }

    /** Runs an action once the offset is applied here, or refuses; an empty offset asks for nothing. */
    void after(HttpExchange e, String shown, Runnable action) {
        long offset = shown.isEmpty() ? -1 : parse(shown);
        if (offset <= node.config().appliedOffset()) {
            action.run();
            return;
        }
        node.awaitConfigOffset(offset).thenAccept(reached -> {
            try {
                if (!reached) {
                    String message = "configuration offset " + offset + " has not been read here yet";
                    throw new RefusedException(Refusal.retryable(ResultCode.NOT_READY, message, RETRY_MILLIS));
                }
                action.run();
            } catch (RuntimeException r) {
                Replies.failure(e, r);
            }
        });
    }

    private static long parse(String text) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            throw new QuetzalvaneException(ResultCode.MALFORMED_REQUEST, FIELD + " must be a whole number");
        }
    }
}
