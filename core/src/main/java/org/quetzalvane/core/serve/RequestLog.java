package org.quetzalvane.core.serve;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import org.quetzalvane.core.event.EventCode;
import org.quetzalvane.core.fleet.Endpoint;
import org.quetzalvane.core.routes.Route;

/** Log lines of one request; each ends with what identifies the request and its size. Confined to the event loop. */
final class RequestLog {
    private final ServingContext context;
    private final CallerRequest request;
    private final long arrivedNanos;
    private String route;
    private String account;

    RequestLog(ServingContext context, CallerRequest request, long arrivedNanos) {
        this.context = context;
        this.request = request;
        this.arrivedNanos = arrivedNanos;
        this.route = request.path();
    }

    /** Sets the route that is named from now on; a request without one is identified by its path. */
    void setRoute(Route matched) {
        route = matched == null ? request.path() : matched.name();
    }

    /** Sets the client account that is named from now on, or null if there is none. */
    void setAccount(String name) {
        account = name;
    }

    /** Time since the request arrived, ms. */
    long elapsedMs() {
        return (context.scheduler().nanoTime() - arrivedNanos) / 1_000_000;
    }

    /**
     * Logs an event of the request.
     *
     * @param fields names and values that precede the common fields
     */
    void log(EventCode code, Object... fields) {
        List<Object> all = new ArrayList<>(Arrays.asList(fields));
        all.addAll(List.of("route", route, "ms", elapsedMs()));
        if (account != null) {
            all.addAll(List.of("account", account));
        }
        if (request.adapter() != null) {
            TokenCounts t = request.tokenCounts();
            all.addAll(List.of("adapter", request.adapter(), "prompt", t.prompt(), "output", t.expectedOutput()));
        }
        if (request.resumes() != null) {
            all.addAll(List.of("resumes", request.resumes()));
        }
        context.log().log(code, request.id(), all.toArray());
    }

    /**
     * Logs that a request is retried after an attempt that may have run.
     *
     * @param begun whether the response to the caller has begun, so that its stream is resumed
     */
    void logRetry(Endpoint failed, boolean begun, String cause) {
        EventCode code = begun ? EventCode.REQUEST_RESUMED : EventCode.REQUEST_RETRIED;
        log(code, "endpoint", failed.id(), "software", failed.softwareVersion(), "cause", cause);
    }

    /**
     * Logs a request whose caller has disconnected.
     *
     * @param sends attempts that had ended and may have run
     * @param current attempt in flight, or null
     */
    void logCancelled(int sends, Attempt current) {
        log(
                EventCode.REQUEST_CANCELLED,
                "after_ms",
                elapsedMs(),
                "sends",
                sends,
                "in_flight",
                current == null ? "" : current.endpoint().id(),
                "written_ms_ago",
                current == null ? -1 : current.writtenMsAgo());
    }

    /**
     * Logs a completed request. {@code first_ms} and {@code gap_ms} belong to the last attempt, also of a resumed
     * stream.
     *
     * @param sends attempts that may have run; refused ones are left out
     */
    void logDone(Attempt last, int sends) {
        Endpoint e = last.endpoint();
        log(
                EventCode.REQUEST_DONE,
                "endpoint",
                e.id(),
                "software",
                e.softwareVersion(),
                "status",
                last.head().status(),
                "delimited",
                last.head().delimited(),
                "sends",
                sends,
                "held_ms",
                (last.sentNanos() - arrivedNanos) / 1_000_000,
                "first_ms",
                last.firstByteNanos() == 0 ? -1 : (last.firstByteNanos() - arrivedNanos) / 1_000_000,
                "gap_ms",
                last.longestGapMs());
    }
}
