package org.quetzalvane.adapters.logging;

import org.jboss.logmanager.LogContext;

/** Sets the minimum level of this project's loggers. Stateless and thread-safe. */
public final class LogLevel {
    private static final String ROOT_LOGGER = "org.quetzalvane";

    private LogLevel() {}

    /** Sets the minimum level by name: DEBUG, INFO, WARN or ERROR. */
    public static void set(String name) {
        LogContext context = LogContext.getLogContext();
        context.getLogger(ROOT_LOGGER).setLevel(context.getLevelForName(name));
    }
}
