package org.quetzalvane.core.limit;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class ConnectionCapacitiesTest {
    /** The smallest and the largest hosts, and a process with fewer descriptors than are kept for files. */
    @ParameterizedTest
    @CsvSource({"4100, 2925, 243, 60", "8192, 5994, 499, 124", "2069, 1401, 116, 29", "100, 1, 1, 1"})
    void listenersLeaveDescriptorsToTheConnectionsThatTheNodeMakes(
            int descriptors, int callers, int directory, int readiness) {
        assertThat(ConnectionCapacities.of(descriptors))
                .isEqualTo(new ConnectionCapacities(callers, directory, readiness));
    }
}
