package org.quetzalvane.node;

import com.fasterxml.jackson.databind.JsonNode;
import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.exc.QuetzalvaneException;

/**
 * Parses the fields of callers' requests. Throws a {@link QuetzalvaneException} with {@link
 * ResultCode#MALFORMED_REQUEST} for a field that is missing or invalid. Stateless.
 */
final class RequestFields {
    private RequestFields() {}

    /** Parses a required text, which must not be empty. */
    static String text(JsonNode body, String field) {
        String value = body.path(field).asText("");
        if (value.isEmpty()) {
            throw malformed(field + " is missing");
        }
        return value;
    }

    /** Parses a whole number from {@code min} to {@code max}; the default if the field is missing. */
    static long wholeNumber(JsonNode body, String field, long defaultValue, long min, long max) {
        JsonNode value = body.path(field);
        if (value.isMissingNode()) {
            return defaultValue;
        }
        boolean fits = value.canConvertToLong() && value.isIntegralNumber();
        if (!fits || value.longValue() < min || value.longValue() > max) {
            throw malformed(field + " must be a whole number from " + min + " to " + max);
        }
        return value.longValue();
    }

    /** Parses a version number. */
    static int version(String text) {
        try {
            return Integer.parseInt(text);
        } catch (NumberFormatException e) {
            throw malformed("version must be a whole number");
        }
    }

    private static QuetzalvaneException malformed(String message) {
        return new QuetzalvaneException(ResultCode.MALFORMED_REQUEST, message);
    }
}
