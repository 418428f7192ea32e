package org.quetzalvane.adapters.logging;

import java.util.function.Consumer;

import org.jboss.logging.Logger;
import org.quetzalvane.core.event.Event;

/** Writes each event as one structured log line. Thread-safe. */
public final class EventLogger implements Consumer<Event> {
    private static final Logger LOG = Logger.getLogger("org.quetzalvane.events");

    @Override
    public void accept(Event event) {
        LOG.infof(
                "event=%d name=%s node=%s subject=\"%s\" detail=\"%s\"",
                event.code().number(), event.code(), event.node(), escape(event.subject()), escape(event.detail()));
    }

    /** Escapes backslashes, quotes and line breaks, so that a value stays on one line and within its quotes. */
    static String escape(String value) {
        return value.replace("\\", "\\\\")
                .replace("\"", "\\\"")
                .replace("\n", "\\n")
                .replace("\r", "\\r");
    }
}
