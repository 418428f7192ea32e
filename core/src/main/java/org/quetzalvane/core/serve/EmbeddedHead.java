package org.quetzalvane.core.serve;

import java.util.Set;
import java.util.regex.Pattern;

/**
 * Finds the head of an HTTP response within server-sent events, as an endpoint writes it that fails after it has begun
 * its stream. Stateless.
 */
final class EmbeddedHead {
    private static final String VERSION = "HTTP/1.";
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [1-5][0-9]{2}(?![0-9])");

    /** Names of the fields of an event; a line with an empty name is a comment. */
    private static final Set<String> FIELDS = Set.of("data", "event", "id", "retry", "");

    private EmbeddedHead() {}

    /**
     * Start of the first event that holds a head, or -1. A status line that begins a line is one in any case, since it
     * is no field; one that follows other text, which may be generated, if a line that is no field of an event follows
     * within the event.
     *
     * @param events complete events, one character per byte
     */
    static int eventWithHead(String events) {
        if (!events.contains(VERSION)) {
            return -1;
        }
        int event = 0;
        boolean statusSeen = false;
        int next;
        for (int line = 0; line < events.length(); line = next) {
            int lineEnd = events.indexOf('\n', line);
            next = lineEnd + 1;
            String text = events.substring(line, lineEnd).stripTrailing();
            if (text.isEmpty()) {
                event = next;
                statusSeen = false;
            } else if (STATUS_LINE.matcher(text).lookingAt() || statusSeen && !isField(text)) {
                return event;
            } else {
                statusSeen |= STATUS_LINE.matcher(text).find();
            }
        }
        return -1;
    }

    private static boolean isField(String line) {
        return FIELDS.contains(line.split(":", 2)[0]);
    }
}
