package org.quetzalvane.adapters.http;

import java.io.IOException;
import java.io.UncheckedIOException;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.exc.QuetzalvaneException;

/** JSON conversions of all HTTP adapters. Unknown fields are ignored. Stateless and thread-safe. */
public final class Json {
    private static final ObjectMapper MAPPER =
            new ObjectMapper().configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);

    private Json() {}

    public static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    public static JsonNode tree(Object value) {
        return MAPPER.valueToTree(value);
    }

    /** Encodes a value as JSON in UTF-8. */
    public static byte[] bytes(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Encodes a value as JSON text. */
    public static String text(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Parses a JSON object; fails with {@link ResultCode#MALFORMED_REQUEST}, also if the data is a response, not a
     * request.
     */
    public static JsonNode parse(byte[] data) {
        return parse(data, JsonNode.class);
    }

    /**
     * Parses a JSON value of the given type; fails with {@link ResultCode#MALFORMED_REQUEST}, also if the data is a
     * response, not a request.
     */
    public static <T> T parse(byte[] data, Class<T> type) {
        try {
            T value = MAPPER.readValue(data, type);
            if (value == null || value instanceof JsonNode && !((JsonNode) value).isObject()) {
                throw new QuetzalvaneException(ResultCode.MALFORMED_REQUEST, "expected a JSON object");
            }
            return value;
        } catch (IOException e) {
            throw new QuetzalvaneException(ResultCode.MALFORMED_REQUEST, "not valid JSON of the expected type", e);
        }
    }
}
