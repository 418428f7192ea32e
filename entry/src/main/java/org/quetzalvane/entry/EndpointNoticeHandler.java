package org.quetzalvane.entry;

import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import org.quetzalvane.core.event.EventCode;
import org.quetzalvane.core.event.StructuredLog;
import org.quetzalvane.core.fleet.Endpoint;
import org.quetzalvane.core.fleet.EndpointNotices;
import org.quetzalvane.core.fleet.EndpointTable;
import org.quetzalvane.core.fleet.RetryAfterValue;
import org.quetzalvane.core.limit.EndpointLimit;
import org.quetzalvane.core.limit.RequestLimitValue;

/** Applies to the endpoint table what endpoints state about themselves, and logs it. Confined to the event loop. */
final class EndpointNoticeHandler implements EndpointNotices {
    /** Largest number of endpoints whose last unreadable limit is kept, so that it is logged once. */
    private static final int MAX_BAD_LIMITS = 256;

    private final EndpointTable endpoints;
    private final StructuredLog log;
    private final LongSupplier wallMillis;
    private final Consumer<Endpoint> announce;
    private final Runnable changed;
    private final LimitListener limits;
    private final Map<String, String> badLimits = new LinkedHashMap<>();

    /** Receives the limits that answers name. */
    @FunctionalInterface
    interface LimitListener {
        /** An answer named a limit of requests per second, or none as {@link EndpointLimit#NONE}. */
        void limit(Endpoint e, double perSecond, long sentNanos);
    }

    /**
     * Creates a handler.
     *
     * @param announce tells the peers that an endpoint leaves
     * @param changed runs when an endpoint was marked as draining
     * @param limits receives the limits that answers name
     */
    EndpointNoticeHandler(
            EndpointTable endpoints,
            StructuredLog log,
            LongSupplier wallMillis,
            Consumer<Endpoint> announce,
            Runnable changed,
            LimitListener limits) {
        this.limits = limits;
        this.endpoints = endpoints;
        this.log = log;
        this.wallMillis = wallMillis;
        this.announce = announce;
        this.changed = changed;
    }

    @Override
    public void leaving(Endpoint e) {
        if (markDraining(e.id(), e.bornMs(), "endpoint")) {
            announce.accept(e);
        }
    }

    /** Applies the mark of an endpoint that this node or a peer has seen; returns whether it is news. */
    boolean markDraining(String id, long bornMs, String source) {
        boolean news = endpoints.markDraining(id, bornMs);
        if (news) {
            log.log(EventCode.ENDPOINT_CHANGED, id, "state", Endpoint.State.DRAINING, "born", bornMs, "source", source);
            changed.run();
        }
        return news;
    }

    @Override
    public void backOff(Endpoint e, String retryAfter) {
        OptionalLong ms = RetryAfterValue.parseMs(retryAfter, Instant.ofEpochMilli(wallMillis.getAsLong()));
        if (ms.isEmpty()) {
            log.log(EventCode.BAD_INPUT, e.id(), "field", "retry-after", "value", retryAfter);
            return;
        }
        endpoints.backOff(e, ms.getAsLong());
        log.log(EventCode.ENDPOINT_BACKOFF, e.id(), "wait_ms", ms.getAsLong());
    }

    @Override
    public void limit(Endpoint e, List<String> values, long sentNanos) {
        OptionalDouble perSecond =
                values.isEmpty() ? OptionalDouble.of(EndpointLimit.NONE) : RequestLimitValue.parse(values);
        if (perSecond.isPresent()) {
            limits.limit(e, perSecond.getAsDouble(), sentNanos);
            return;
        }
        String bad = String.join(", ", values);
        if (!bad.equals(badLimits.put(e.id(), bad))) {
            log.log(EventCode.BAD_INPUT, e.id(), "field", "server-limit", "value", bad);
        }
        if (badLimits.size() > MAX_BAD_LIMITS) {
            badLimits.remove(badLimits.keySet().iterator().next());
        }
    }

    @Override
    public void inputTooLarge(Endpoint e, String input) {
        log.log(EventCode.INPUT_TOO_LARGE, e.id(), "input", input);
    }
}
