package org.quetzalvane.core.team;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Locale;

/** Figures that tests measure, for the tables of the documentation: lines of {@code target/allowances.txt}. */
final class Measured {
    private static final Path FILE = Path.of("target", "allowances.txt");

    private Measured() {}

    static void add(String format, Object... values) {
        try {
            Files.createDirectories(FILE.getParent());
            Files.writeString(
                    FILE,
                    String.format(Locale.ROOT, format, values) + '\n',
                    StandardOpenOption.CREATE,
                    StandardOpenOption.APPEND);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
