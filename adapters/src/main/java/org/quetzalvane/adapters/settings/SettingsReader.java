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
 * Reads a TOML file against a list of known keys and collects every fault before it fails.
 *
 * <p>Unknown keys are faults and are answered with the nearest known key. Used once, by one thread.
 */
final class SettingsReader {
    private final Map<String, SettingKey> known = new LinkedHashMap<>();
    private final Map<String, String> values = new LinkedHashMap<>();
    private final List<Violation> faults = new ArrayList<>();

    SettingsReader(Collection<SettingKey> keys) {
        keys.forEach(k -> known.put(k.path(), k));
    }

    /** Reads the file; fails with {@link SettingsException}. */
    Map<String, String> read(Path file) {
        collect("", parse(file));
        known.values().forEach(this::check);
        if (!faults.isEmpty()) {
            throw new SettingsException(faults);
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

    private void collect(String prefix, JsonNode table) {
        table.fields().forEachRemaining(f -> {
            String path = prefix + f.getKey();
            if (f.getValue().isObject()) {
                collect(path + ".", f.getValue());
            } else if (known.containsKey(path)) {
                collectValue(known.get(path), f.getValue());
            } else {
                faults.add(new Violation(
                        path, f.getValue().asText(), "unknown key; the nearest known is " + nearest(path)));
            }
        });
    }

    private void collectValue(SettingKey key, JsonNode value) {
        boolean typeFits = key.numeric() ? value.isNumber() : value.isTextual();
        if (typeFits) {
            values.put(key.path(), value.asText());
        } else {
            faults.add(new Violation(key.path(), value.toString(), "must be " + key.allowed()));
            values.put(key.path(), null);
        }
    }

    private void check(SettingKey key) {
        if (!values.containsKey(key.path())) {
            if (key.missing() == null) {
                faults.add(new Violation(key.path(), "", "is missing; it must be " + key.allowed()));
            }
            values.put(key.path(), key.missing());
            return;
        }
        String value = values.get(key.path());
        if (value != null && !key.valid().apply(value)) {
            String shown = key.path().endsWith("secret") ? "" : value;
            faults.add(new Violation(key.path(), shown, "must be " + key.allowed()));
        }
    }

    private String nearest(String path) {
        return known.keySet().stream()
                .min(Comparator.comparingInt(k -> distance(k, path)))
                .orElse("");
    }

    /** Edit distance of two strings. */
    private static int distance(String a, String b) {
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
