package org.quetzalvane.adapters.logging;

import org.jboss.logmanager.LogContext;

/** Sets the lowest level that this project's loggers write. Stateless and thread-safe. */
public final class LogLevel {
    private static final String ROOT = "org.quetzalvane";

    private LogLevel() {}

    /** Sets a level by its name: DEBUG, INFO, WARN or ERROR. */
    public static void set(String name) {
        LogContext context = LogContext.getLogContext();
        context.getLogger(ROOT).setLevel(context.getLevelForName(name));
    }
}
