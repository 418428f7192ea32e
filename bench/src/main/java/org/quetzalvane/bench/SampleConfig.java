package org.quetzalvane.bench;

import java.nio.charset.StandardCharsets;

import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.config.ConfigTable;
import org.quetzalvane.core.config.RecordOutcome;

/** Fills a configuration table with any number of objects, by applying records. Not thread-safe. */
final class SampleConfig {
    static final String REGION = "r1";
    static final String BASE_MODEL = "base";

    private final ConfigTable table = new ConfigTable();
    private long nextOffset;

    SampleConfig() {
        put("base-model", BASE_MODEL, "{}");
    }

    ConfigTable table() {
        return table;
    }

    SampleConfig adapters(int from, int to) {
        for (int i = from; i < to; i++) {
            put("adapter", "a" + i, "{\"baseModel\":\"base\"}");
        }
        return this;
    }

    SampleConfig versions(int from, int to) {
        for (int i = from; i < to; i++) {
            put("version", "a" + i + "@1", "{\"adapter\":\"a" + i + "\",\"version\":1,\"weights\":\"w/a" + i + "-1\"}");
        }
        return this;
    }

    /** Adds an access rule for each adapter, with one of 1,000 callers. */
    SampleConfig rules(int from, int to) {
        for (int i = from; i < to; i++) {
            put("access-rule", "r" + i, "{\"caller\":\"c" + i % 1000 + "\",\"target\":\"adapter:a" + i + "\"}");
        }
        return this;
    }

    SampleConfig callers(int from, int to) {
        for (int i = from; i < to; i++) {
            put("caller", "c" + i, "{\"tokenSha256\":\"" + String.format("%064x", i) + "\"}");
        }
        return this;
    }

    SampleConfig engines(int from, int to) {
        for (int i = from; i < to; i++) {
            put("engine", engineName(i), engineValue(i));
        }
        return this;
    }

    static String engineName(int number) {
        return "engine-" + number;
    }

    static String record(long id, String kind, String name, String value) {
        return "{\"schema\":2,\"id\":\"" + id + "\",\"kind\":\"" + kind + "\",\"name\":\"" + name
                + "\",\"expectedRevision\":0,\"value\":" + value + "}";
    }

    private static String engineValue(int i) {
        return "{\"url\":\"http://10.0.0." + i % 250 + ":8000\",\"host\":\"gpu-" + i + "\",\"dataCentre\":\"" + REGION
                + "/dc" + i % 4 + "\",\"baseModel\":\"base\",\"slots\":8,\"batchSize\":32,\"checksFencing\":false}";
    }

    private void put(String kind, String name, String value) {
        byte[] data = record(nextOffset, kind, name, value).getBytes(StandardCharsets.UTF_8);
        RecordOutcome outcome = table.apply(nextOffset++, data).orElseThrow();
        if (outcome.code() != ResultCode.RECORD_ACCEPTED) {
            throw new IllegalStateException(outcome.toString());
        }
    }
}
