package org.quetzalvane.proofs;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.config.ConfigTable;

import static org.assertj.core.api.Assertions.assertThat;

/** The example of a schema migration in docs/OPERATING.md consists of records that are accepted in turn. */
class OperatingDocumentTest {
    private static final Path DOCUMENT = Path.of("..", "docs", "OPERATING.md");
    private static final String EXAMPLE_ID = "\"id\":\"m-";

    private static List<String> example() throws IOException {
        List<String> records = new ArrayList<>();
        for (String line : Files.readAllLines(DOCUMENT)) {
            if (line.startsWith("    {") && line.contains(EXAMPLE_ID)) {
                records.add(line.strip());
            } else if (line.startsWith("      \"")
                    && !records.isEmpty()
                    && !records.get(records.size() - 1).endsWith("}")) {
                records.set(records.size() - 1, records.get(records.size() - 1) + line.strip());
            }
        }
        return records;
    }

    @Test
    void everyRecordOfTheSchemaMigrationExampleIsAccepted() throws IOException {
        ConfigTable table = new ConfigTable();
        List<String> records = example();
        assertThat(records).hasSize(5);
        for (int i = 0; i < records.size(); i++) {
            byte[] data = records.get(i).getBytes(StandardCharsets.UTF_8);
            assertThat(table.apply(i, data).orElseThrow().code())
                    .as(records.get(i))
                    .isEqualTo(ResultCode.RECORD_ACCEPTED);
        }
    }
}
