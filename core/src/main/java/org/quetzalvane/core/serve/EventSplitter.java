package org.quetzalvane.core.serve;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Splits a stream of server-sent events at the ends of events and keeps the id of the last complete one.
 *
 * <p>A partial event is withheld until its end arrives, so that callers receive only complete events and the events of
 * another endpoint can follow if the stream breaks off. Not thread-safe.
 */
final class EventSplitter {
    /**
     * Largest partial event that is withheld, bytes: 11 for each of the 90,000 tokens that the memory of an engine
     * holds.
     */
    static final int MAX_EVENT_BYTES = 1024 * 1024;

    /** Longest id that is sent to another endpoint, characters: below the usual limit of a header line, 8 KiB. */
    private static final int MAX_ID_CHARS = 1_024;

    private static final String ID_FIELD = "id:";
    private static final byte[] NOTHING = new byte[0];

    private ByteArrayOutputStream pending = new ByteArrayOutputStream();
    /** The last two bytes of {@link #pending}; 0 where it has fewer. */
    private byte last;

    private byte secondLast;
    private String lastId;
    private boolean hasEvents;
    private boolean attemptHasEvents;
    private boolean headFound;

    EventSplitter(String lastId) {
        this.lastId = lastId;
        this.hasEvents = lastId != null;
    }

    /** Starts the part of the stream that the next attempt sends; a partial event of the one before is discarded. */
    void beginAttempt() {
        clearPending();
        attemptHasEvents = false;
        headFound = false;
    }

    /**
     * Adds bytes and returns those of the events that are now complete, up to one that holds the head of a response;
     * empty if no event is complete. The cost is linear in the bytes added, however long the partial event is.
     */
    byte[] feed(byte[] bytes) {
        int end = lastEventEnd(bytes);
        pending.write(bytes, 0, end);
        byte[] complete = NOTHING;
        if (end > 0) {
            complete = withoutHead(pending.toByteArray());
            clearPending();
        }
        if (complete.length > 0) {
            hasEvents = true;
            attemptHasEvents = true;
        }
        pending.write(bytes, end, bytes.length - end);
        for (int i = Math.max(end, bytes.length - 2); i < bytes.length; i++) {
            secondLast = last;
            last = bytes[i];
        }
        return complete;
    }

    /** Returns the events before one that holds the head of a response, and keeps the id of the last one. */
    private byte[] withoutHead(byte[] events) {
        String text = new String(events, StandardCharsets.ISO_8859_1);
        int at = EmbeddedHead.eventWithHead(text);
        if (at < 0) {
            updateLastId(text);
            return events;
        }
        headFound = true;
        updateLastId(text.substring(0, at));
        return Arrays.copyOf(events, at);
    }

    /** Whether the present attempt has sent the head of a response as an event; nothing more should be fed then. */
    boolean hasHead() {
        return headFound;
    }

    /** Whether the present attempt has sent a complete event. */
    boolean attemptHasEvents() {
        return attemptHasEvents;
    }

    /** Most bytes of memory that the partial event occupies; its buffer grows by doubling. */
    long heldBytes() {
        return 2L * pending.size();
    }

    /** Whether a partial event is withheld. */
    boolean hasPartialEvent() {
        return pending.size() > 0;
    }

    /** Whether the partial event is larger than {@link #MAX_EVENT_BYTES}; nothing more should be fed then. */
    boolean isEventTooLarge() {
        return pending.size() > MAX_EVENT_BYTES;
    }

    /** Id of the last complete event that has one; before that the id given to the constructor, which may be null. */
    String lastId() {
        return lastId;
    }

    /** Whether the events that follow can be requested by the id of the last one, as the value of a header. */
    boolean hasUsableId() {
        return !hasEvents
                || lastId != null
                        && !lastId.isEmpty()
                        && lastId.length() <= MAX_ID_CHARS
                        && lastId.chars().noneMatch(Character::isISOControl);
    }

    private void clearPending() {
        pending = new ByteArrayOutputStream();
        last = 0;
        secondLast = 0;
    }

    /** End of the last event that is complete with these bytes; the pending bytes hold no such end. */
    private int lastEventEnd(byte[] b) {
        for (int i = b.length - 1; i >= 0; i--) {
            if (b[i] != '\n') {
                continue;
            }
            byte before = byteAt(b, i - 1);
            if (before == '\n' || before == '\r' && byteAt(b, i - 2) == '\n') {
                return i + 1;
            }
        }
        return 0;
    }

    /** A byte of the added bytes or, at index -1 and -2, of the pending bytes before them; 0 if there is none. */
    private byte byteAt(byte[] added, int i) {
        if (i >= 0) {
            return added[i];
        }
        return i == -1 ? last : secondLast;
    }

    private void updateLastId(String text) {
        int at = text.startsWith(ID_FIELD) ? 0 : -1;
        int later = text.lastIndexOf("\n" + ID_FIELD);
        if (later >= 0) {
            at = later + 1;
        }
        if (at >= 0) {
            int lineEnd = text.indexOf('\n', at);
            lastId = text.substring(at + ID_FIELD.length(), lineEnd).trim();
        }
    }
}
