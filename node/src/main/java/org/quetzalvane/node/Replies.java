package org.quetzalvane.node;

import org.quetzalvane.adapters.http.ErrorBody;
import org.quetzalvane.adapters.http.HttpExchange;
import org.quetzalvane.adapters.http.JettyHttpServer;
import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.exc.HeldElsewhereException;
import org.quetzalvane.core.exc.RefusedException;
import org.quetzalvane.core.request.Refusal;

/** Writes refusals and failures to callers. Stateless and thread-safe. */
final class Replies {
    private static final long MILLIS_PER_SECOND = 1000;

    private Replies() {}

    /** Answers with a failure, which may be wrapped by a {@code CompletableFuture}. */
    static void failure(HttpExchange e, Throwable failure) {
        RefusedException refused = find(failure, RefusedException.class);
        HeldElsewhereException held = find(failure, HeldElsewhereException.class);
        if (refused != null) {
            refusal(e, refused.refusal());
        } else if (held != null) {
            e.respond(held.code().httpStatus(), ErrorBody.of(held));
        } else {
            JettyHttpServer.respondWithError(e, failure);
        }
    }

    /** Answers with a refusal and when to come back. */
    static void refusal(HttpExchange e, Refusal r) {
        if (r.code() == ResultCode.UNAUTHENTICATED) {
            e.setResponseHeader("WWW-Authenticate", "Bearer");
        }
        if (r.retryAfterMillis() > 0) {
            long seconds = (r.retryAfterMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
            e.setResponseHeader("Retry-After", Long.toString(seconds));
        }
        e.respond(r.code().httpStatus(), ErrorBody.of(r));
    }

    private static <T extends Throwable> T find(Throwable failure, Class<T> type) {
        for (Throwable t = failure; t != null; t = t.getCause()) {
            if (type.isInstance(t)) {
                return type.cast(t);
            }
        }
        return null;
    }
}
