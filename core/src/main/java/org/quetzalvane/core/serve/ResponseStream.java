package org.quetzalvane.core.serve;

/**
 * Cuts a streamed response into parts that may be passed on, across the attempts that contribute to the response:
 * complete events if another endpoint can continue the stream, otherwise all bytes.
 *
 * <p>Not thread-safe.
 */
final class ResponseStream {
    private final EventSplitter splitter;

    private ResponseStream(EventSplitter splitter) {
        this.splitter = splitter;
    }

    /** Creates a stream of opaque bytes, which another endpoint cannot continue. */
    static ResponseStream opaque() {
        return new ResponseStream(null);
    }

    /**
     * Creates a stream of complete events, which another endpoint can continue.
     *
     * @param lastId id of the event that precedes the stream, or null
     */
    static ResponseStream ofEvents(String lastId) {
        return new ResponseStream(new EventSplitter(lastId));
    }

    /** Begins the response to the caller with the head of the first endpoint. */
    void begin(CallerResponse response, ResponseHead head) {
        response.begin(head);
    }

    /** Whether another endpoint can continue the stream. */
    boolean resumable() {
        return splitter != null;
    }

    /** Adds bytes of an endpoint and returns those that may be passed on now. */
    byte[] feed(byte[] chunk) {
        return splitter == null ? chunk : splitter.feed(chunk);
    }

    boolean hasPartialEvent() {
        return splitter != null && splitter.hasPartialEvent();
    }

    void discardPartialEvent() {
        if (splitter != null) {
            splitter.discardPartialEvent();
        }
    }

    /** Id of the last complete event that has one, before that the id given to {@link #ofEvents}; may be null. */
    String lastId() {
        return splitter == null ? null : splitter.lastId();
    }
}
