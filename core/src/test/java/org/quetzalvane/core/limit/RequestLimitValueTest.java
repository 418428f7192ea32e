package org.quetzalvane.core.limit;

import java.util.List;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class RequestLimitValueTest {
    @ParameterizedTest
    @CsvSource({"0, 0", "1.8, 1.8", "' 50 ', 50", "0.000000001, 0.000000001", "999999999, 999999999"})
    void decimalNumbersAreRead(String value, double expected) {
        assertThat(RequestLimitValue.parse(List.of(value))).hasValue(expected);
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "-1", "+1", "1e9", "NaN", "Infinity", "1,8", ".5", "5.", "0x10", "9999999999", "two"})
    void otherValuesAreNotRead(String value) {
        assertThat(RequestLimitValue.parse(List.of(value))).isEmpty();
    }

    @ParameterizedTest
    @CsvSource({"1.8, 1.8", "1, 2"})
    void severalValuesAreNotRead(String first, String second) {
        assertThat(RequestLimitValue.parse(List.of(first, second))).isEmpty();
    }
}
