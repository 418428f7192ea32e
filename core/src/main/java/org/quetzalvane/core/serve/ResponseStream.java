package org.quetzalvane.core.serve;

/**
 * Cuts a streamed response into parts that may be passed on, across the attempts that contribute to the response:
 * complete events of an event stream, all bytes of any other response.
 *
 * <p>Not thread-safe.
 */
final class ResponseStream {
    private final EventSplitter splitter;
    private final boolean resumable;
    private int status;

    private ResponseStream(EventSplitter splitter, boolean resumable) {
        this.splitter = splitter;
        this.resumable = resumable;
    }

    /** Creates a stream of opaque bytes, which another endpoint cannot continue. */
    static ResponseStream opaque() {
        return new ResponseStream(null, false);
    }

    /**
     * Creates a stream of events.
     *
     * @param lastId id of the event that precedes the stream, or null
     * @param resumable whether another endpoint can continue the stream
     */
    static ResponseStream ofEvents(String lastId, boolean resumable) {
        return new ResponseStream(new EventSplitter(lastId), resumable);
    }

    /** Begins the response to the caller with the head of the first endpoint. */
    void begin(CallerResponse response, ResponseHead head) {
        status = head.status();
        response.begin(head);
    }

    /** Whether a response goes on with the stream: it is a stream of events and has the status of the first one. */
    boolean isContinuedBy(ResponseHead head) {
        return splitter != null && head.eventStream() && head.status() == status;
    }

    /** Starts the part of the stream that the next attempt sends; a partial event of the one before is discarded. */
    void beginAttempt() {
        if (splitter != null) {
            splitter.beginAttempt();
        }
    }

    /** Whether another endpoint can continue the stream. */
    boolean resumable() {
        return resumable && (splitter == null || splitter.hasUsableId());
    }

    /** Adds bytes of an endpoint and returns those that may be passed on now. */
    byte[] feed(byte[] chunk) {
        return splitter == null ? chunk : splitter.feed(chunk);
    }

    /**
     * Whether the stream would be incomplete if the present attempt ended now: within an event, or before the first
     * event of that attempt unless its endpoint delimited the body.
     */
    boolean isTruncated(boolean delimited) {
        if (splitter == null) {
            return false;
        }
        return splitter.hasPartialEvent() || !delimited && !splitter.attemptHasEvents();
    }

    /** Frees the memory of a partial event, once the attempt that sent it has ended. */
    void discardPartialEvent() {
        splitter.beginAttempt();
    }

    /** Bytes of memory that the partial event occupies. */
    long heldBytes() {
        return splitter == null ? 0 : splitter.heldBytes();
    }

    /** Whether the stream is within an event that is too large to be withheld until its end. */
    boolean isEventTooLarge() {
        return splitter != null && splitter.isEventTooLarge();
    }

    /** Whether an endpoint sent the head of a response as an event, which is withheld with all that follows. */
    boolean hasHead() {
        return splitter != null && splitter.hasHead();
    }

    /** Id of the last complete event that has one, before that the id given to {@link #ofEvents}; may be null. */
    String lastId() {
        return splitter == null ? null : splitter.lastId();
    }
}
