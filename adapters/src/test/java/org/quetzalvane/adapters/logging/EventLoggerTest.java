package org.quetzalvane.adapters.logging;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Escaping of values in the log lines of events. */
class EventLoggerTest {

    @ParameterizedTest
    @CsvSource({
        "plain,plain",
        "'two\nlines','two\\nlines'",
        "'a \"quote\"','a \\\"quote\\\"'",
        "'back\\slash','back\\\\slash'"
    })
    void escapesQuotesBackslashesAndLineBreaks(String value, String written) {
        assertThat(EventLogger.escape(value)).isEqualTo(written);
    }
}
