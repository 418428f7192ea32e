package org.quetzalvane.adapters.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import org.quetzalvane.core.exc.SettingsException;
import org.quetzalvane.core.exc.SettingsException.Violation;

/**
 * Reads a TOML file, checks it against the known keys and reports all violations together.
 *
 * <p>An unknown key is a violation whose message names the closest known key. For a single use; not thread-safe.
 */
final class SettingsReader {
    private final Map<String, SettingKey> knownKeys = new LinkedHashMap<>();
    private final Map<String, String> values = new LinkedHashMap<>();
    private final List<Violation> violations = new ArrayList<>();

    SettingsReader(Collection<SettingKey> keys) {
        keys.forEach(k -> knownKeys.put(k.path(), k));
    }

    /** Returns the values by key; fails with {@link SettingsException} if there are violations. */
    Map<String, String> read(Path file) {
        collectTable("", parse(file));
        knownKeys.values().forEach(this::validateOrSetDefault);
        if (!violations.isEmpty()) {
            throw new SettingsException(violations);
        }
        return values;
    }

    private JsonNode parse(Path file) {
        try {
            return new TomlMapper().readTree(Files.readString(file));
        } catch (JsonProcessingException e) {
            throw new SettingsException(List.of(new Violation(file.toString(), "", e.getOriginalMessage())));
        } catch (IOException e) {
            throw new SettingsException(
                    List.of(new Violation(file.toString(), "", "cannot be read: " + e.getMessage())));
        }
    }

    private void collectTable(String prefix, JsonNode table) {
        table.fields().forEachRemaining(f -> {
            String path = prefix + f.getKey();
            if (f.getValue().isObject()) {
                collectTable(path + ".", f.getValue());
            } else if (knownKeys.containsKey(path)) {
                collectValue(knownKeys.get(path), f.getValue());
            } else {
                violations.add(new Violation(
                        path, f.getValue().asText(), "unknown key; the closest known key is " + closestKey(path)));
            }
        });
    }

    private void collectValue(SettingKey key, JsonNode value) {
        boolean typeFits = key.numeric() ? value.isNumber() : value.isTextual();
        if (typeFits) {
            values.put(key.path(), value.asText());
        } else {
            violations.add(new Violation(key.path(), value.toString(), "must be " + key.allowed()));
            // Present but invalid, and already reported; see validateOrSetDefault.
            values.put(key.path(), null);
        }
    }

    /** Reports a value that is missing or not allowed; sets the default of an absent key. */
    private void validateOrSetDefault(SettingKey key) {
        if (!values.containsKey(key.path())) {
            if (key.defaultValue() == null) {
                violations.add(new Violation(key.path(), "", "is missing; it must be " + key.allowed()));
            }
            values.put(key.path(), key.defaultValue());
            return;
        }
        String value = values.get(key.path());
        if (value != null && !key.valid().apply(value)) {
            String printedValue = key.path().endsWith("secret") ? "" : value;
            violations.add(new Violation(key.path(), printedValue, "must be " + key.allowed()));
        }
    }

    private String closestKey(String path) {
        return knownKeys.keySet().stream()
                .min(Comparator.comparingInt(k -> editDistance(k, path)))
                .orElse("");
    }

    /** Levenshtein distance of two strings. */
    private static int editDistance(String a, String b) {
        int[] row = new int[b.length() + 1];
        for (int j = 0; j <= b.length(); j++) {
            row[j] = j;
        }
        for (int i = 1; i <= a.length(); i++) {
            int diagonal = row[0];
            row[0] = i;
            for (int j = 1; j <= b.length(); j++) {
                int replace = diagonal + (a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1);
                diagonal = row[j];
                row[j] = Math.min(replace, Math.min(row[j], row[j - 1]) + 1);
            }
        }
        return row[b.length()];
    }
}
