package org.quetzalvane.core.serve;

/**
 * The caller's side of an answer that is passed on in parts, across the endpoints that contribute to it.
 *
 * <p>Where the stream may go on at another endpoint, only whole events are passed on. Not thread-safe.
 */
final class StreamRelay {
    private final EventSplitter splitter;

    private StreamRelay(EventSplitter splitter) {
        this.splitter = splitter;
    }

    /** A relay of bytes that nothing can be joined to. */
    static StreamRelay opaque() {
        return new StreamRelay(null);
    }

    /** A relay of whole events that may go on at another endpoint. */
    static StreamRelay ofEvents(String lastId) {
        return new StreamRelay(new EventSplitter(lastId));
    }

    /** Passes the head of the first endpoint's answer on. */
    void begin(CallerResponse answer, ResponseHead head) {
        answer.begin(head);
    }

    /** Whether another endpoint's events may follow. */
    boolean resumable() {
        return splitter != null;
    }

    /** Takes bytes and gives those that may be passed on now. */
    byte[] take(byte[] part) {
        return splitter == null ? part : splitter.feed(part);
    }

    boolean midEvent() {
        return splitter != null && splitter.midEvent();
    }

    void dropPart() {
        if (splitter != null) {
            splitter.dropPart();
        }
    }

    /** Id of the last event passed on, or null. */
    String lastId() {
        return splitter == null ? null : splitter.lastId();
    }
}
