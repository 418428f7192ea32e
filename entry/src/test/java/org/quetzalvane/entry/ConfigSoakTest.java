package org.quetzalvane.entry;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/** The soak of configurations for a short time; {@link ConfigSoakMain} runs many seeds. */
@Timeout(value = 180, unit = TimeUnit.SECONDS)
class ConfigSoakTest {
    private static final long SECONDS = 15;

    @TempDir
    private Path directory;

    /**
     * Nodes refused routes as only an older configuration allows, after a read of a silent store had hung. Parameters:
     * seed, number of nodes, and the only kind of fault, or none for all kinds.
     */
    @ParameterizedTest
    @CsvSource({"102, 3, STORE_SILENT", "2, 8,"})
    void everyNodeServesTheNewestConfigurationInTime(long seed, int nodes, ConfigSoak.Fault only) throws Exception {
        List<ConfigSoak.Fault> kinds = only == null ? List.of(ConfigSoak.Fault.values()) : List.of(only);
        try (ConfigSoak soak = new ConfigSoak(seed, nodes, directory)) {
            soak.run(SECONDS, kinds);
            ConfigJudge judge = soak.judge();
            assertThat(soak.failures()).isEmpty();
            assertThat(judge.judgedForLateness()).isPositive();
            assertThat(judge.late()).as(soak.summary()).isEmpty();
            assertThat(judge.reverted()).as(soak.summary()).isEmpty();
            assertThat(judge.impossible()).as(soak.summary()).isEmpty();
            assertThat(judge.tooManyRefused())
                    .as(soak.summary() + judge.refused())
                    .isFalse();
        }
    }
}
