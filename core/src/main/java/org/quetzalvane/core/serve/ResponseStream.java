package org.quetzalvane.core.serve;

/**
 * Relays a streamed response to the caller, possibly from several endpoints in turn.
 *
 * <p>A resumable stream is relayed in complete events only. Not thread-safe.
 */
final class ResponseStream {
    private final EventSplitter splitter;

    private ResponseStream(EventSplitter splitter) {
        this.splitter = splitter;
    }

    /** Creates a relay of opaque bytes, which another endpoint cannot continue. */
    static ResponseStream opaque() {
        return new ResponseStream(null);
    }

    /** Creates a relay of complete events, which another endpoint can continue. */
    static ResponseStream ofEvents(String lastId) {
        return new ResponseStream(new EventSplitter(lastId));
    }

    /** Passes the response head of the first endpoint on. */
    void begin(CallerResponse response, ResponseHead head) {
        response.begin(head);
    }

    /** Whether another endpoint can continue the stream. */
    boolean resumable() {
        return splitter != null;
    }

    /** Adds bytes and returns those that can be passed on now. */
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

    /** Id of the last event that was passed on, or null. */
    String lastId() {
        return splitter == null ? null : splitter.lastId();
    }
}
