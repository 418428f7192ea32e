package org.quetzalvane.core.config;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.exc.RecordException;
import org.quetzalvane.core.model.AccessRule;
import org.quetzalvane.core.model.Adapter;
import org.quetzalvane.core.model.BaseModel;
import org.quetzalvane.core.model.Caller;
import org.quetzalvane.core.model.ConfigObject;
import org.quetzalvane.core.model.DataCentre;
import org.quetzalvane.core.model.EndpointConfig;
import org.quetzalvane.core.model.Engine;
import org.quetzalvane.core.model.LoadLimits;
import org.quetzalvane.core.model.PublishedVersion;
import org.quetzalvane.core.model.Service;

/**
 * Decodes configuration records of every supported schema version, and encodes them in the newest one.
 *
 * <p>Schema 1 is flat: {@code {"schema":1,"id":..,"type":..,"name":..,"rev":..,<fields>}}, a removal has
 * {@code "deleted":true}, and a data centre is written {@code "dc":"region/name"}. Schema 2 nests the fields in
 * {@code "value"}, where null removes the object, and names the expected revision {@code "expectedRevision"}. Decoding
 * depends on the bytes alone, so that all nodes decode a record in the same way. Stateless and thread-safe.
 */
public final class RecordCodec {
    public static final int OLDEST_SCHEMA = 1;
    public static final int NEWEST_SCHEMA = 2;

    private static final ObjectMapper JSON = new ObjectMapper();

    private RecordCodec() {}

    /** Decodes a record; throws a {@link RecordException} when it is malformed or its schema is not supported. */
    public static ConfigRecord decode(byte[] data) {
        JsonNode node = parse(data);
        int schema = integer(node, "schema", -1);
        switch (schema) {
            case 1:
                return decodeFlat(node);
            case 2:
                return decodeNested(node);
            default:
                throw new RecordException(ResultCode.UNKNOWN_SCHEMA, "schema version " + schema + " is not supported");
        }
    }

    /** Encodes a record in the newest schema, independent of the schema from which the record was decoded. */
    public static byte[] encode(ConfigRecord record) {
        ObjectNode node = JSON.createObjectNode();
        node.put("schema", NEWEST_SCHEMA);
        node.put("id", record.id());
        node.put("kind", record.kind().label());
        node.put("name", record.name());
        node.put("expectedRevision", record.expectedRevision());
        node.set("value", record.value() == null ? JSON.nullNode() : encodeValue(record.value()));
        return bytes(node);
    }

    private static ObjectNode encodeValue(ConfigObject value) {
        ObjectNode node = JSON.valueToTree(value);
        node.remove("name");
        if (value instanceof EndpointConfig) {
            node.put("dataCentre", ((EndpointConfig) value).dataCentre().toString());
        }
        return node;
    }

    private static ConfigRecord decodeFlat(JsonNode node) {
        ConfigObject.Kind kind = kind(text(node, "type"));
        String name = text(node, "name");
        boolean deleted = node.path("deleted").asBoolean(false);
        ConfigObject value = deleted ? null : value(kind, name, node, "dc");
        return new ConfigRecord(1, text(node, "id"), number(node, "rev"), kind, name, value);
    }

    private static ConfigRecord decodeNested(JsonNode node) {
        ConfigObject.Kind kind = kind(text(node, "kind"));
        String name = text(node, "name");
        JsonNode fields = node.path("value");
        ConfigObject value = fields.isObject() ? value(kind, name, fields, "dataCentre") : null;
        if (value == null && !fields.isNull()) {
            throw malformed("value must be a JSON object or null");
        }
        return new ConfigRecord(2, text(node, "id"), number(node, "expectedRevision"), kind, name, value);
    }

    private static ConfigObject value(ConfigObject.Kind kind, String name, JsonNode f, String dataCentreField) {
        switch (kind) {
            case BASE_MODEL:
                return new BaseModel(name);
            case ENGINE:
                return new Engine(
                        name,
                        text(f, "url"),
                        text(f, "host"),
                        dataCentre(f, dataCentreField),
                        text(f, "baseModel"),
                        positive(f, "slots"),
                        positive(f, "batchSize"),
                        f.path("checksFencing").asBoolean(false));
            case SERVICE:
                return new Service(name, text(f, "url"), text(f, "host"), dataCentre(f, dataCentreField));
            case ADAPTER:
                return new Adapter(name, text(f, "baseModel"));
            case VERSION:
                return version(name, f);
            case CALLER:
                return new Caller(name, text(f, "tokenSha256"));
            case ACCESS_RULE:
                return new AccessRule(
                        name,
                        text(f, "caller"),
                        text(f, "target"),
                        integer(f, "fromVersion", 1),
                        integer(f, "toVersion", Integer.MAX_VALUE));
            default:
                return new LoadLimits(name, f.path("loadsPerSecond").asDouble(), positive(f, "maxInFlight"));
        }
    }

    private static PublishedVersion version(String name, JsonNode f) {
        PublishedVersion v = new PublishedVersion(text(f, "adapter"), positive(f, "version"), text(f, "weights"));
        if (!v.name().equals(name)) {
            throw malformed("name of a version must be adapter@version, expected " + v.name());
        }
        return v;
    }

    private static DataCentre dataCentre(JsonNode f, String field) {
        String[] parts = text(f, field).split("/", -1);
        if (parts.length != 2 || parts[0].isEmpty() || parts[1].isEmpty()) {
            throw malformed(field + " must have the form region/name");
        }
        return new DataCentre(parts[0], parts[1]);
    }

    private static ConfigObject.Kind kind(String label) {
        for (ConfigObject.Kind k : ConfigObject.Kind.values()) {
            if (k.label().equals(label)) {
                return k;
            }
        }
        throw malformed("unknown kind of object: " + label);
    }

    private static String text(JsonNode node, String field) {
        JsonNode v = node.path(field);
        if (!v.isTextual() || v.textValue().isEmpty()) {
            throw malformed(field + " must be a non-empty string");
        }
        if (!StandardCharsets.UTF_8.newEncoder().canEncode(v.textValue())) {
            throw malformed(field + " must be valid Unicode");
        }
        return v.textValue();
    }

    private static long number(JsonNode node, String field) {
        JsonNode v = node.path(field);
        if (!v.isIntegralNumber() || v.longValue() < 0) {
            throw malformed(field + " must be a whole number from 0");
        }
        return v.longValue();
    }

    private static int positive(JsonNode node, String field) {
        int v = integer(node, field, 0);
        if (v < 1) {
            throw malformed(field + " must be a whole number from 1");
        }
        return v;
    }

    /** Returns the fallback when the field is missing or not an int. */
    private static int integer(JsonNode node, String field, int fallback) {
        JsonNode v = node.path(field);
        return v.isMissingNode() ? fallback : v.canConvertToInt() ? v.intValue() : fallback;
    }

    private static RecordException malformed(String message) {
        return new RecordException(ResultCode.RECORD_MALFORMED, message);
    }

    private static JsonNode parse(byte[] data) {
        try {
            JsonNode node = JSON.readTree(data);
            if (node == null || !node.isObject()) {
                throw malformed("a record must be a JSON object");
            }
            return node;
        } catch (IOException e) {
            throw malformed("record is not valid JSON");
        }
    }

    private static byte[] bytes(JsonNode node) {
        try {
            return JSON.writeValueAsBytes(node);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
