package org.quetzalvane.node;

import org.quetzalvane.adapters.http.HttpExchange;
import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.exc.QuetzalvaneException;
import org.quetzalvane.core.exc.RefusedException;
import org.quetzalvane.core.node.Coordinator;
import org.quetzalvane.core.request.Refusal;

/**
 * Delays a request until this node has applied the configuration at least up to the offset that the caller states.
 * Thread-safe.
 */
final class ConfigOffsetGate {
    /** Name of the field or query parameter with the required offset. */
    static final String FIELD = "min_config_offset";

    private static final long RETRY_AFTER_MILLIS = 500;

    private final Coordinator node;

    ConfigOffsetGate(Coordinator node) {
        this.node = node;
    }

    /**
     * Runs the action once the offset is applied on this node, at once for an empty offset. Responds with {@link
     * ResultCode#NOT_READY} if the offset is not applied within the catch-up timeout of the {@link Coordinator}.
     *
     * @throws QuetzalvaneException with {@link ResultCode#MALFORMED_REQUEST} if the offset is not a whole number
     */
    void runAfter(HttpExchange e, String requested, Runnable action) {
        long offset = requested.isEmpty() ? -1 : parse(requested);
        if (offset <= node.config().appliedOffset()) {
            action.run();
            return;
        }
        node.awaitConfigOffset(offset).thenAccept(reached -> {
            try {
                if (!reached) {
                    String message = "configuration offset " + offset + " is not applied on this node yet";
                    throw new RefusedException(Refusal.retryable(ResultCode.NOT_READY, message, RETRY_AFTER_MILLIS));
                }
                action.run();
            } catch (RuntimeException r) {
                ErrorResponses.sendFailure(e, r);
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
