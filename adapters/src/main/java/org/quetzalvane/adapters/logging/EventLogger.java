package org.quetzalvane.adapters.logging;

import java.util.function.Consumer;

import org.jboss.logging.Logger;
import org.quetzalvane.core.event.Event;

/** Writes every event as one structured log line. Thread-safe. */
public final class EventLogger implements Consumer<Event> {
    private static final Logger LOG = Logger.getLogger("org.quetzalvane.events");

    @Override
    public void accept(Event e) {
        LOG.infof(
                "event=%d name=%s node=%s subject=\"%s\" detail=\"%s\"",
                e.code().number(), e.code(), e.node(), escape(e.subject()), escape(e.detail()));
    }

    /** Keeps a value on one line and its quotes from ending it. */
    static String escape(String value) {
        return value.replace("\\", "\\\\")
                .replace("\"", "\\\"")
                .replace("\n", "\\n")
                .replace("\r", "\\r");
    }
}
