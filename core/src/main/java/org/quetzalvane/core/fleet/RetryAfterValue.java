package org.quetzalvane.core.fleet;

import java.time.DateTimeException;
import java.time.Instant;
import java.time.ZonedDateTime;
import java.time.format.DateTimeFormatter;
import java.util.OptionalLong;
import java.util.regex.Pattern;

/** Value of a Retry-After header: seconds, also with a fraction, or an HTTP date. Stateless and thread-safe. */
public final class RetryAfterValue {
    /** Longest wait that is granted, ms: an endpoint that asks for more counts as failed long before. */
    static final long MAX_MS = 60_000;

    private static final Pattern SECONDS = Pattern.compile("[0-9]{1,9}(\\.[0-9]{1,9})?");

    private RetryAfterValue() {}

    /**
     * The wait in milliseconds, at most {@link #MAX_MS}; empty if the value cannot be read.
     *
     * @param now time of day, for a date
     */
    public static OptionalLong parseMs(String value, Instant now) {
        String text = value.trim();
        if (SECONDS.matcher(text).matches()) {
            return OptionalLong.of(bounded(Math.round(Double.parseDouble(text) * 1_000)));
        }
        try {
            Instant at = ZonedDateTime.parse(text, DateTimeFormatter.RFC_1123_DATE_TIME)
                    .toInstant();
            return OptionalLong.of(bounded(at.toEpochMilli() - now.toEpochMilli()));
        } catch (DateTimeException e) {
            // The calling code logs the value.
            return OptionalLong.empty();
        }
    }

    private static long bounded(long ms) {
        return Math.max(0, Math.min(MAX_MS, ms));
    }
}
