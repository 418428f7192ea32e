package org.quetzalvane.standins.harness;

import java.util.List;

/**
 * Commands that start the programs, from this process's class path or from the shaded jars whose paths are given in the
 * system properties {@code quetzalvane.node.jar}, {@code quetzalvane.cli.jar} and {@code quetzalvane.standins.jar}.
 *
 * <p>Stateless and thread-safe.
 */
final class ProgramCommands {
    private ProgramCommands() {}

    static List<String> node() {
        return program("quetzalvane.node.jar", "org.quetzalvane.node.NodeMain");
    }

    static List<String> cli() {
        return program("quetzalvane.cli.jar", "org.quetzalvane.cli.QuetzalvaneMain");
    }

    static List<String> standIn() {
        return program("quetzalvane.standins.jar", "org.quetzalvane.standins.StandInMain");
    }

    private static List<String> program(String property, String mainClass) {
        String jar = System.getProperty(property);
        return jar != null ? List.of("-jar", jar) : List.of("-cp", System.getProperty("java.class.path"), mainClass);
    }
}
