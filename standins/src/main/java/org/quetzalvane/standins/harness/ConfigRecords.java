package org.quetzalvane.standins.harness;

import java.util.UUID;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.quetzalvane.adapters.http.Json;
import org.quetzalvane.core.routing.AccessChecker;

/** Builds configuration records of schema 2, as operators publish them. Stateless and thread-safe. */
public final class ConfigRecords {
    private ConfigRecords() {}

    /**
     * Builds a record with a random id.
     *
     * @param expectedRevision revision of the object that the record replaces; 0 if there is none
     * @param value value of the object, or null to delete the object
     */
    public static ObjectNode record(String kind, String name, long expectedRevision, ObjectNode value) {
        ObjectNode r = Json.object();
        r.put("schema", 2);
        r.put("id", UUID.randomUUID().toString());
        r.put("kind", kind);
        r.put("name", name);
        r.put("expectedRevision", expectedRevision);
        r.set("value", value);
        return r;
    }

    public static ObjectNode baseModel(String name) {
        return record("base-model", name, 0, Json.object());
    }

    /** Builds the record of an adapter of a base model. */
    public static ObjectNode adapter(String name, String baseModel) {
        return record("adapter", name, 0, Json.object().put("baseModel", baseModel));
    }

    /** Builds the record of an adapter version. */
    public static ObjectNode adapterVersion(String adapter, int version) {
        ObjectNode v =
                Json.object().put("adapter", adapter).put("version", version).put("weights", adapter + "-" + version);
        return record("version", adapter + "@" + version, 0, v);
    }

    public static ObjectNode caller(String name, String token) {
        return record("caller", name, 0, Json.object().put("tokenSha256", AccessChecker.sha256(token)));
    }

    public static ObjectNode accessRule(String name, String caller, String target) {
        return record(
                "access-rule", name, 0, Json.object().put("caller", caller).put("target", target));
    }

    /** Builds the record of the limits of a region's weight store. */
    public static ObjectNode loadLimits(String region, double loadsPerSecond, int inFlight) {
        ObjectNode v = Json.object().put("loadsPerSecond", loadsPerSecond).put("maxInFlight", inFlight);
        return record("load-limits", region, 0, v);
    }
}
