package org.quetzalvane.core.fleet;

import java.time.Instant;
import java.util.OptionalLong;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class RetryAfterValueTest {
    private static final Instant NOW = Instant.parse("2026-01-02T03:04:05Z");

    @ParameterizedTest
    @CsvSource({
        "0, 0",
        "3, 3000",
        " 3 , 3000",
        "0.25, 250",
        "60, 60000",
        "61, 60000",
        "999999999, 60000",
        "'Fri, 02 Jan 2026 03:04:09 GMT', 4000",
        "'Fri, 02 Jan 2026 03:04:01 GMT', 0",
        "'Sat, 02 Jan 2027 03:04:05 GMT', 60000",
    })
    void secondsAndDatesAreReadAndBounded(String value, long ms) {
        assertThat(RetryAfterValue.parseMs(value, NOW)).isEqualTo(OptionalLong.of(ms));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "-1", "soon", "1e3", "NaN", "9999999999", "Fri, 32 Jan 2026 03:04:09 GMT", "3;4"})
    void unreadableValueIsEmpty(String value) {
        assertThat(RetryAfterValue.parseMs(value, NOW)).isEmpty();
    }
}
