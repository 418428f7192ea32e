package org.quetzalvane.entry;

import java.util.List;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class ProcessLimitsTest {
    @ParameterizedTest
    @CsvSource({
        "'Max open files            600                  1024                 files     ', 600",
        "'Max open files            unlimited            unlimited            files     ', 4096",
        "'Max processes             600                  600                  processes ', 4096"
    })
    void readsTheLimitInForce(String line, int expected) {
        List<String> lines = List.of("Limit                     Soft Limit           Hard Limit           Units", line);
        assertThat(ProcessLimits.openFiles(lines, 4_096)).isEqualTo(expected);
    }
}
