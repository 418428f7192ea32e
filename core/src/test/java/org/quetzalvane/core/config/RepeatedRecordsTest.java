package org.quetzalvane.core.config;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.quetzalvane.core.ResultCode;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A repeated record never changes the state, even after its outcome was evicted or the state was restored from a
 * snapshot. Applies random records of both schemas, some repeated, some with an outdated expected revision.
 */
class RepeatedRecordsTest {
    private static final int RECORDS = 120;
    private static final int NAMES = 3;
    private static final int MAX_OUTCOMES = 2;

    @Property(seed = "20261203", tries = 400)
    void repeatedRecordNeverChangesState(@ForAll long scenario) {
        Random random = new Random(scenario);
        ConfigTable table = new ConfigTable(MAX_OUTCOMES);
        ConfigTable replica = new ConfigTable(MAX_OUTCOMES);
        List<byte[]> log = new ArrayList<>();
        Set<String> seen = new HashSet<>();
        for (int offset = 0; offset < RECORDS; offset++) {
            byte[] data = random.nextInt(3) == 0 && offset > 0
                    ? log.get(random.nextInt(log.size()))
                    : newRecord(random, table, offset);
            log.add(data);
            List<ConfigState.Entry> before = List.copyOf(table.read(ConfigState::all));
            RecordOutcome outcome = table.apply(offset, data).orElseThrow();
            assertThat(replica.apply(offset, data)).contains(outcome);
            if (random.nextInt(RECORDS / 2) == 0) {
                replica = restored(table);
            }
            if (!seen.add(new String(data, StandardCharsets.UTF_8))) {
                assertThat(outcome.code()).isNotEqualTo(ResultCode.RECORD_ACCEPTED);
                assertThat(table.read(ConfigState::all)).isEqualTo(before);
            }
        }
        assertThat(replica.read(ConfigState::all)).isEqualTo(table.read(ConfigState::all));
    }

    private static ConfigTable restored(ConfigTable table) {
        List<byte[]> snapshot = table.snapshot();
        ConfigTable restored = new ConfigTable(MAX_OUTCOMES);
        restored.restore(snapshot.stream().map(SnapshotCodec::decode).toList());
        assertThat(restored.snapshot()).usingElementComparator(Arrays::compare).isEqualTo(snapshot);
        return restored;
    }

    /**
     * A new record that states the current revision or, in a quarter of the cases, a random number up to the offset.
     */
    private static byte[] newRecord(Random random, ConfigTable table, int offset) {
        String kind = random.nextInt(3) == 0 ? "base-model" : "adapter";
        String name = "n" + random.nextInt(NAMES);
        ConfigKey key = new ConfigKey(
                kind.equals("adapter")
                        ? org.quetzalvane.core.model.ConfigObject.Kind.ADAPTER
                        : org.quetzalvane.core.model.ConfigObject.Kind.BASE_MODEL,
                name);
        long current = table.read(s -> s.revision(key));
        long revision = random.nextInt(4) == 0 ? random.nextInt(offset + 1) : current;
        boolean remove = random.nextInt(3) == 0;
        String base = "n" + random.nextInt(NAMES);
        String json = random.nextBoolean()
                ? "{'schema':1,'id':'i" + offset + "','type':'" + kind + "','name':'" + name + "','rev':" + revision
                        + (remove ? ",'deleted':true}" : ",'baseModel':'" + base + "'}")
                : "{'schema':2,'id':'i" + offset + "','kind':'" + kind + "','name':'" + name + "','expectedRevision':"
                        + revision + ",'value':" + (remove ? "null}" : "{'baseModel':'" + base + "'}}");
        return json.replace('\'', '"').getBytes(StandardCharsets.UTF_8);
    }
}
