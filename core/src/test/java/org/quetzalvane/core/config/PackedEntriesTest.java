package org.quetzalvane.core.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.quetzalvane.core.model.AccessRule;
import org.quetzalvane.core.model.Adapter;
import org.quetzalvane.core.model.ConfigObject;
import org.quetzalvane.core.model.PublishedVersion;

import static org.assertj.core.api.Assertions.assertThat;

/** Compares packed entries with a map through random additions, removals and compactions. */
class PackedEntriesTest {
    private static final int STEPS = 2000;
    private static final int NAMES = 30;
    private static final int MAX_TEXT_LENGTH = 12_000;

    @Property(seed = "20261203", tries = 20)
    void matchesMap(@ForAll long scenario) {
        Random random = new Random(scenario);
        PackedEntries packed = new PackedEntries();
        Map<ConfigKey, ConfigState.Entry> model = new HashMap<>();
        for (int i = 0; i < STEPS; i++) {
            ConfigObject value = value(random);
            ConfigKey key = new ConfigKey(value.kind(), value.name());
            packed.remove(key);
            model.remove(key);
            if (random.nextInt(3) > 0) {
                ConfigState.Entry e = new ConfigState.Entry(i + 1L, value);
                packed.add(e);
                model.put(key, e);
            }
            assertThat(packed.find(key).orElse(null)).isEqualTo(model.get(key));
            String caller = "c" + random.nextInt(4);
            String target = "adapter:n" + random.nextInt(NAMES);
            assertThat(packed.anyRule(caller, target, r -> r.fromVersion() > 1))
                    .isEqualTo(anyRule(model, caller, target));
        }
        List<ConfigState.Entry> all = new ArrayList<>();
        packed.forEach(all::add);
        assertThat(all).containsExactlyInAnyOrderElementsOf(model.values());
    }

    private static boolean anyRule(Map<ConfigKey, ConfigState.Entry> model, String caller, String target) {
        return model.values().stream()
                .map(ConfigState.Entry::value)
                .filter(AccessRule.class::isInstance)
                .map(AccessRule.class::cast)
                .anyMatch(r -> r.caller().equals(caller) && r.target().equals(target) && r.fromVersion() > 1);
    }

    private static ConfigObject value(Random random) {
        String name = "n" + random.nextInt(NAMES);
        switch (random.nextInt(3)) {
            case 0:
                return new Adapter(name, "b\u00e9" + "x".repeat(random.nextInt(MAX_TEXT_LENGTH)));
            case 1:
                return new PublishedVersion(
                        name, 1 + random.nextInt(3), "w".repeat(1 + random.nextInt(MAX_TEXT_LENGTH)));
            default:
                String target = "adapter:n" + random.nextInt(NAMES);
                return new AccessRule(name, "c" + random.nextInt(4), target, 1 + random.nextInt(2), Integer.MAX_VALUE);
        }
    }
}
