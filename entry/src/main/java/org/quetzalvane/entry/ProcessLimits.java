package org.quetzalvane.entry;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Limits that the operating system sets to this process. Stateless. */
final class ProcessLimits {
    private static final Path LIMITS = Path.of("/proc/self/limits");
    private static final Pattern OPEN_FILES = Pattern.compile("Max open files\\s+(\\d{1,9})\\s.*");

    private ProcessLimits() {}

    /** Most descriptors that may be open; {@code unknown} if the system does not say. */
    static int openFiles(int unknown) {
        try {
            return openFiles(Files.readAllLines(LIMITS), unknown);
        } catch (IOException e) {
            // Not a Linux system, or the file is hidden from the process.
            return unknown;
        }
    }

    static int openFiles(List<String> lines, int unknown) {
        return lines.stream()
                .map(OPEN_FILES::matcher)
                .filter(Matcher::matches)
                .mapToInt(m -> Integer.parseInt(m.group(1)))
                .findFirst()
                .orElse(unknown);
    }
}
