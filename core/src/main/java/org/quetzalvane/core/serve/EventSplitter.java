package org.quetzalvane.core.serve;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Cuts the bytes of an event stream after whole events and remembers the id of the last one.
 *
 * <p>A part of an event is held back until its end arrives, so a stream that breaks off never leaves the caller with a
 * part that another endpoint's stream would be joined to. Not thread-safe.
 */
final class EventSplitter {
    private static final String ID_FIELD = "id:";

    private ByteArrayOutputStream pending = new ByteArrayOutputStream();
    private String lastId;

    EventSplitter(String lastId) {
        this.lastId = lastId;
    }

    /** Takes bytes and gives those of the events that are now whole; empty when none is. */
    byte[] feed(byte[] bytes) {
        pending.writeBytes(bytes);
        byte[] all = pending.toByteArray();
        int end = lastEventEnd(all);
        if (end == 0) {
            return new byte[0];
        }
        byte[] whole = Arrays.copyOf(all, end);
        pending = new ByteArrayOutputStream();
        pending.write(all, end, all.length - end);
        noteLastId(whole);
        return whole;
    }

    /** Whether a part of an event is held back. */
    boolean midEvent() {
        return pending.size() > 0;
    }

    /** Drops a part of an event that will not be completed. */
    void dropPart() {
        pending = new ByteArrayOutputStream();
    }

    /** Id of the last whole event, or null before the first. */
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

    private void noteLastId(byte[] whole) {
        String text = new String(whole, StandardCharsets.ISO_8859_1);
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
