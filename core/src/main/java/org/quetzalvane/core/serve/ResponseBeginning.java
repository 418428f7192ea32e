package org.quetzalvane.core.serve;

import org.quetzalvane.core.fleet.Endpoint;
import org.quetzalvane.core.quarantine.PromptQuarantine;
import org.quetzalvane.core.quarantine.RequestContent;
import org.quetzalvane.core.time.Scheduler;

/**
 * Tells the quarantine how far the response of one attempt got: past its beginning, or broken off before that. A stream
 * begins with its head, or with the first byte of a head that stays incomplete. Another response of an engine is in its
 * beginning from its first byte, one of a service without models from the time the request was sent; both are past it
 * when complete. Confined to the event loop.
 */
final class ResponseBeginning {
    private static final long NEVER = Long.MIN_VALUE;

    private final Scheduler scheduler;
    private final PromptQuarantine quarantine;
    private final RequestContent content;
    private final Endpoint endpoint;
    private final boolean readsPrompt;
    private final long sentNanos;
    private long answeredNanos = NEVER;
    private long streamNanos = NEVER;
    private boolean headComplete;
    private boolean past;

    /**
     * Creates the beginning of a response that has not begun.
     *
     * @param readsPrompt whether the endpoint serves models, so that its response shows that it has read the prompt
     */
    ResponseBeginning(ServingContext context, RequestContent content, Endpoint endpoint, boolean readsPrompt) {
        this.scheduler = context.scheduler();
        this.quarantine = context.quarantine();
        this.content = content;
        this.endpoint = endpoint;
        this.readsPrompt = readsPrompt;
        this.sentNanos = scheduler.nanoTime();
    }

    /** The first bytes of the head of a response arrived. */
    void headStarted() {
        if (readsPrompt && answeredNanos == NEVER) {
            answeredNanos = scheduler.nanoTime();
        }
    }

    /** The head of a response is complete. */
    void headCompleted() {
        headStarted();
        headComplete = true;
    }

    /** The head of a successful stream arrived. */
    void streamBegun() {
        streamNanos = scheduler.nanoTime();
    }

    void chunkReceived() {
        if (streamNanos != NEVER && msSince(streamNanos) >= PromptQuarantine.BEGINNING_MS) {
            recordPast();
        }
    }

    /** A successful response is complete. */
    void completed() {
        recordPast();
    }

    /** The connection broke before the response was complete. */
    void broken() {
        if (streamNanos != NEVER) {
            quarantine.recordBroken(endpoint, content, msSince(streamNanos));
        } else if (answeredNanos != NEVER) {
            quarantine.recordBroken(endpoint, content, msSince(answeredNanos), !headComplete);
        } else {
            quarantine.recordBroken(endpoint, content.withoutPromptParts(), msSince(sentNanos));
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
            boolean promptRead = answeredNanos != NEVER || streamNanos != NEVER;
            quarantine.recordPastBeginning(promptRead ? content : content.withoutPromptParts());
        }
    }
}
