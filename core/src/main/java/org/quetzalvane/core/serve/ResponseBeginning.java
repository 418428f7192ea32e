package org.quetzalvane.core.serve;

import org.quetzalvane.core.fleet.Endpoint;
import org.quetzalvane.core.quarantine.PromptQuarantine;
import org.quetzalvane.core.quarantine.RequestContent;
import org.quetzalvane.core.time.Scheduler;

/**
 * Tells the quarantine how far the response of one attempt got: past its beginning, or broken off before that. A stream
 * begins with its head; what does not stream is in its beginning from the time it was sent, and past it when complete.
 * Confined to the event loop.
 */
final class ResponseBeginning {
    private static final long NOT_BEGUN = Long.MIN_VALUE;

    private final Scheduler scheduler;
    private final PromptQuarantine quarantine;
    private final RequestContent content;
    private final Endpoint endpoint;
    private final long sentNanos;
    private long begunNanos = NOT_BEGUN;
    private boolean past;

    ResponseBeginning(ServingContext context, RequestContent content, Endpoint endpoint) {
        this.scheduler = context.scheduler();
        this.quarantine = context.quarantine();
        this.content = content;
        this.endpoint = endpoint;
        this.sentNanos = scheduler.nanoTime();
    }

    /** The head of a successful stream arrived. */
    void begun() {
        begunNanos = scheduler.nanoTime();
    }

    void chunkReceived() {
        if (begunNanos != NOT_BEGUN && msSince(begunNanos) >= PromptQuarantine.BEGINNING_MS) {
            recordPast();
        }
    }

    /** A successful response is complete. */
    void completed() {
        recordPast();
    }

    /** The connection broke before the response was complete. */
    void broken() {
        if (begunNanos == NOT_BEGUN) {
            quarantine.recordBroken(endpoint, content.withoutPromptParts(), msSince(sentNanos));
        } else {
            quarantine.recordBroken(endpoint, content, msSince(begunNanos));
        }
    }

    /** No connection to the endpoint could be made. */
    void unreachable() {
        quarantine.recordUnreachable(endpoint);
    }

    /** Whether the response got past its beginning. */
    boolean isPast() {
        return past;
    }

    private long msSince(long nanos) {
        return (scheduler.nanoTime() - nanos) / 1_000_000;
    }

    private void recordPast() {
        if (!past) {
            past = true;
            quarantine.recordPastBeginning(begunNanos == NOT_BEGUN ? content.withoutPromptParts() : content);
        }
    }
}
