package org.quetzalvane.adapters.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.quetzalvane.core.exc.SettingsException;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

/** Reading and validation of the settings file of a node. */
class NodeSettingsTest {
    private static final String VALID = String.join(
            "\n",
            "[node]",
            "name = 'n1'",
            "host = 'entry-1'",
            "region = 'r1'",
            "data_centre = 'a'",
            "[cluster]",
            "name = 'c'",
            "secret = '0123456789abcdef'",
            "[listen]",
            "callers = '127.0.0.1:7001'",
            "operators = '127.0.0.1:7002'",
            "peers = '127.0.0.1:7003'",
            "[platform]",
            "log = 'http://127.0.0.1:7000'",
            "hosts = 'http://127.0.0.1:7004'",
            "[timing]",
            "lease_millis = 5000",
            "");

    @TempDir
    private Path directory;

    private NodeSettings read(String toml) throws IOException {
        return NodeSettings.load(Files.writeString(directory.resolve("s.toml"), toml));
    }

    @Test
    void readsValuesAndDefaults() throws IOException {
        NodeSettings s = read(VALID);
        assertThat(s.timing().leaseDuration()).isEqualTo(Duration.ofSeconds(5));
        assertThat(s.timing().addressTtl()).isEqualTo(Duration.ofSeconds(2));
        assertThat(s.node().dataCentre()).hasToString("r1/a");
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "lease_millis = 5000 | lease_millis = 5 | timing.lease_millis = 5: must be a whole number from 500",
                "lease_millis = 5000 | lease_milis = 5000 | unknown key; the closest known key is timing.lease_millis",
                "name = 'n1' | name = 'N 1' | node.name = N 1: must be",
                "callers = '127.0.0.1:7001' | callers = 'localhost' | listen.callers = localhost: must be IP:PORT",
                "log = 'http://127.0.0.1:7000' | log = 7 | platform.log = 7: must be an http:// or https:// URL",
                "secret = '0123456789abcdef' | secret = 'short' | cluster.secret: must be at least 16 characters",
                "host = 'entry-1' | # | node.host: is missing"
            })
    void reportsKeyValueAndAllowedRange(String line, String replacement, String expected) {
        SettingsException e =
                catchThrowableOfType(SettingsException.class, () -> read(VALID.replace(line, replacement)));
        assertThat(e.getMessage()).contains(expected);
        assertThat(e.violations()).hasSize(1);
    }

    @Test
    void reportsAllViolationsTogether() {
        String broken = VALID.replace("lease_millis = 5000", "lease_millis = 1\nbogus = 1")
                .replace("name = 'n1'", "name = ''");
        SettingsException e = catchThrowableOfType(SettingsException.class, () -> read(broken));
        assertThat(e.violations()).hasSize(3);
    }

    @Test
    void rejectsInvalidToml() {
        SettingsException e = catchThrowableOfType(SettingsException.class, () -> read("[node\nname"));
        assertThat(e.violations()).hasSize(1);
    }
}
