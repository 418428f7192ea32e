package org.quetzalvane.node;

import com.fasterxml.jackson.databind.JsonNode;
import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.exc.QuetzalvaneException;

/** Reads the fields of callers' requests; fails with {@link ResultCode#MALFORMED_REQUEST}. Stateless. */
final class Fields {
    private Fields() {}

    /** A text that must be present. */
    static String text(JsonNode body, String field) {
        String value = body.path(field).asText("");
        if (value.isEmpty()) {
            throw malformed(field + " is missing");
        }
        return value;
    }

    /** A whole number within bounds, or the default when it is missing. */
    static long whole(JsonNode body, String field, long missing, long min, long max) {
        JsonNode value = body.path(field);
        if (value.isMissingNode()) {
            return missing;
        }
        boolean fits = value.canConvertToLong() && value.isIntegralNumber();
        if (!fits || value.longValue() < min || value.longValue() > max) {
            throw malformed(field + " must be a whole number from " + min + " to " + max);
        }
        return value.longValue();
    }

    /** A version number. */
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
