package org.quetzalvane.entry;

import java.util.Set;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.quetzalvane.core.limit.ConnectionTable;
import org.quetzalvane.platform.BootSettings;

import static org.assertj.core.api.Assertions.assertThat;

class ListenerConnectionsTest {
    /** Guards against the limit of the operating system, which a host that counts by itself leaves to its processes. */
    @ParameterizedTest
    @CsvSource({"264, 48", "4100, 2925", "2000000, 1499850"})
    void statedDescriptorsHoldWhateverTheSystemAllows(int stated, int callers) {
        BootSettings s = TestSettings.withDescriptors(TestSettings.of("n1", Set.of(), "127.0.0.1:1"), stated);
        ConnectionTable table = ListenerConnections.of(s).callers();
        for (int i = 0; i < callers; i++) {
            table.add(() -> {});
        }
        assertThat(table.displaced()).isZero();
        table.add(() -> {});
        assertThat(table.displaced()).isEqualTo(1);
    }
}
