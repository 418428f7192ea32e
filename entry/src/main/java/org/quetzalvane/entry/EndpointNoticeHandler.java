package org.quetzalvane.entry;

import java.time.Instant;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import org.quetzalvane.core.event.EventCode;
import org.quetzalvane.core.event.StructuredLog;
import org.quetzalvane.core.fleet.Endpoint;
import org.quetzalvane.core.fleet.EndpointNotices;
import org.quetzalvane.core.fleet.EndpointTable;
import org.quetzalvane.core.fleet.RetryAfterValue;

/** Applies to the endpoint table what endpoints state about themselves, and logs it. Confined to the event loop. */
final class EndpointNoticeHandler implements EndpointNotices {
    private final EndpointTable endpoints;
    private final StructuredLog log;
    private final LongSupplier wallMillis;
    private final Consumer<Endpoint> announce;
    private final Runnable changed;

    /**
     * Creates a handler.
     *
     * @param announce tells the peers that an endpoint leaves
     * @param changed runs when an endpoint was marked as draining
     */
    EndpointNoticeHandler(
            EndpointTable endpoints,
            StructuredLog log,
            LongSupplier wallMillis,
            Consumer<Endpoint> announce,
            Runnable changed) {
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
    public void inputTooLarge(Endpoint e, String input) {
        log.log(EventCode.INPUT_TOO_LARGE, e.id(), "input", input);
    }
}
