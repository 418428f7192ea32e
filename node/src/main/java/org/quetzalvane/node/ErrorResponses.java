package org.quetzalvane.node;

import org.quetzalvane.adapters.http.ErrorBody;
import org.quetzalvane.adapters.http.HttpExchange;
import org.quetzalvane.adapters.http.JettyHttpServer;
import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.exc.HeldElsewhereException;
import org.quetzalvane.core.exc.RefusedException;
import org.quetzalvane.core.request.Refusal;

/** Sends refusals and failures to callers. Stateless and thread-safe. */
final class ErrorResponses {
    private static final long MILLIS_PER_SECOND = 1000;

    private ErrorResponses() {}

    /** Sends a failure, which may be wrapped, for example by a {@code CompletableFuture}. */
    static void sendFailure(HttpExchange e, Throwable failure) {
        RefusedException refused = findCause(failure, RefusedException.class);
        HeldElsewhereException held = findCause(failure, HeldElsewhereException.class);
        if (refused != null) {
            sendRefusal(e, refused.refusal());
        } else if (held != null) {
            e.respond(held.code().httpStatus(), ErrorBody.of(held));
        } else {
            JettyHttpServer.respondWithError(e, failure);
        }
    }

    /** Sends a refusal with the time after which to retry, if there is one, rounded up to whole seconds. */
    static void sendRefusal(HttpExchange e, Refusal r) {
        if (r.code() == ResultCode.UNAUTHENTICATED) {
            e.setResponseHeader("WWW-Authenticate", "Bearer");
        }
        if (r.retryAfterMillis() > 0) {
            long seconds = (r.retryAfterMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
            e.setResponseHeader("Retry-After", Long.toString(seconds));
        }
        e.respond(r.code().httpStatus(), ErrorBody.of(r));
    }

    private static <T extends Throwable> T findCause(Throwable failure, Class<T> type) {
        for (Throwable t = failure; t != null; t = t.getCause()) {
            if (type.isInstance(t)) {
                return type.cast(t);
            }
        }
        return null;
    }
}
