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
    private static final String ID_FIELD = "id:";

    private ByteArrayOutputStream pending = new ByteArrayOutputStream();
    private String lastId;
    private boolean hasEvents;

    EventSplitter(String lastId) {
        this.lastId = lastId;
        this.hasEvents = lastId != null;
    }

    /** Adds bytes and returns those of the events that are now complete; empty if no event is complete. */
    byte[] feed(byte[] bytes) {
        pending.writeBytes(bytes);
        byte[] all = pending.toByteArray();
        int end = lastEventEnd(all);
        if (end == 0) {
            return new byte[0];
        }
        byte[] complete = Arrays.copyOf(all, end);
        pending = new ByteArrayOutputStream();
        pending.write(all, end, all.length - end);
        hasEvents = true;
        updateLastId(complete);
        return complete;
    }

    /** Whether an event is complete or preceded the stream. */
    boolean hasEvents() {
        return hasEvents;
    }

    /** Whether a partial event is withheld. */
    boolean hasPartialEvent() {
        return pending.size() > 0;
    }

    /** Discards a partial event that will not be completed. */
    void discardPartialEvent() {
        pending = new ByteArrayOutputStream();
    }

    /** Id of the last complete event that has one; before that the id given to the constructor, which may be null. */
    String lastId() {
        return lastId;
    }

    private static int lastEventEnd(byte[] b) {
        for (int i = b.length - 1; i > 0; i--) {
            if (b[i] != '\n') {
                continue;
            }
            boolean blank = b[i - 1] == '\n' || i > 1 && b[i - 1] == '\r' && b[i - 2] == '\n';
            if (blank) {
                return i + 1;
            }
        }
        return 0;
    }

    private void updateLastId(byte[] complete) {
        String text = new String(complete, StandardCharsets.ISO_8859_1);
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
