package org.quetzalvane.proofs;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.quetzalvane.adapters.settings.NodeSettings;
import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.event.EventCode;

import static org.assertj.core.api.Assertions.assertThat;

/** Tables of codes, events and settings in the documentation match the code. */
class DocumentsTest {
    private static final Path DOCS = Path.of("..", "docs");

    static Stream<Arguments> tables() {
        List<String> codes = Arrays.stream(ResultCode.values())
                .map(c -> "| " + c.number() + " | " + c + " | " + c.httpStatus() + " | "
                        + (c.retryable() ? "yes" : "no") + " | " + c.description() + " |")
                .toList();
        List<String> events = Arrays.stream(EventCode.values())
                .map(c -> "| " + c.number() + " | " + c + " | " + c.description() + " |")
                .toList();
        List<String> settings =
                NodeSettings.describeKeys().stream().map(k -> "| " + k + " |").toList();
        return Stream.of(
                Arguments.of("RESULT_CODES.md", codes),
                Arguments.of("EVENTS.md", events),
                Arguments.of("OPERATING.md", settings));
    }

    @ParameterizedTest
    @MethodSource("tables")
    void documentTableMatchesCode(String document, List<String> rows) throws IOException {
        List<String> documentRows = Files.readAllLines(DOCS.resolve(document)).stream()
                .filter(l -> l.matches("\\| (\\d+|[a-z]+\\.[a-z_]+) \\|.*"))
                .toList();
        assertThat(documentRows).containsExactlyElementsOf(rows);
    }
}
