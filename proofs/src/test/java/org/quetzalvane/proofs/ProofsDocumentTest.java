package org.quetzalvane.proofs;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Every test named in docs/PROOFS.md exists. */
class ProofsDocumentTest {
    private static final Path ROOT = Path.of("..");
    private static final Pattern TEST = Pattern.compile("`(\\w+Test)\\.(\\w+)`");

    @Test
    void everyNamedTestExists() throws IOException {
        Matcher m = TEST.matcher(Files.readString(ROOT.resolve("docs/PROOFS.md")));
        List<String> missing = new ArrayList<>();
        int named = 0;
        while (m.find()) {
            named++;
            if (!exists(m.group(1), m.group(2))) {
                missing.add(m.group());
            }
        }
        assertThat(named).isPositive();
        assertThat(missing).isEmpty();
    }

    private static boolean exists(String type, String method) throws IOException {
        try (Stream<Path> files = Files.walk(ROOT, 12)) {
            List<Path> found = files.filter(f -> f.endsWith(type + ".java")).toList();
            for (Path f : found) {
                if (Files.readString(f).contains(" " + method + "(")) {
                    return true;
                }
            }
            return false;
        }
    }
}
