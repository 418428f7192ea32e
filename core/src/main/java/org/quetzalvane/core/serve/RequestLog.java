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
     * Fields of a completed request. {@code first_ms} and {@code gap_ms} belong to the last attempt, also of a resumed
     * stream.
     *
     * @param sends attempts that may have run; refused ones are left out
     */
    static Object[] doneFields(Attempt last, int sends, long arrivedNanos) {
        Endpoint e = last.endpoint();
        return new Object[] {
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
            last.longestGapMs()
        };
    }
}
