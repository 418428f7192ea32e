package org.quetzalvane.core.serve;

import org.quetzalvane.core.fleet.Endpoint;
import org.quetzalvane.core.quarantine.PromptQuarantine;
import org.quetzalvane.core.time.Scheduler;

/**
 * Tells the quarantine how far the response of one attempt at an engine got: past its beginning, or broken off before
 * that. Confined to the event loop.
 */
final class ResponseBeginning {
    private static final long NOT_BEGUN = Long.MIN_VALUE;

    private final Scheduler scheduler;
    private final PromptQuarantine quarantine;
    private final CallerRequest request;
    private final Endpoint endpoint;
    private long begunNanos = NOT_BEGUN;
    private boolean past;

    ResponseBeginning(ServingContext context, CallerRequest request, Endpoint endpoint) {
        this.scheduler = context.scheduler();
        this.quarantine = context.quarantine();
        this.request = request;
        this.endpoint = endpoint;
    }

    /** The head of a successful response arrived. */
    void begun() {
        begunNanos = scheduler.nanoTime();
    }

    void chunkReceived() {
        if (begunNanos != NOT_BEGUN && begunMs() >= PromptQuarantine.BEGINNING_MS) {
            recordPast();
        }
    }

    /** The response is complete. */
    void completed() {
        if (begunNanos != NOT_BEGUN) {
            recordPast();
        }
    }

    /** The connection broke before the response was complete. */
    void broken() {
        long beginningMs = begunNanos == NOT_BEGUN ? -1 : begunMs();
        quarantine.recordBroken(endpoint, request.sharedParts(), request.id(), beginningMs);
    }

    /** No connection to the endpoint could be made. */
    void unreachable() {
        quarantine.recordUnreachable(endpoint);
    }

    /** Whether the response got past its beginning. */
    boolean isPast() {
        return past;
    }

    private long begunMs() {
        return (scheduler.nanoTime() - begunNanos) / 1_000_000;
    }

    private void recordPast() {
        if (!past) {
            past = true;
            quarantine.recordPastBeginning(endpoint.service(), request.sharedParts(), request.id());
        }
    }
}
