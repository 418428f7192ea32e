package org.quetzalvane.cli;

import com.beust.jcommander.Parameter;

/** The options of every subcommand. Not thread-safe. */
abstract class CommonOptions implements Command {

    @Parameter(names = "--help", description = "Show this help", help = true)
    private boolean help;

    @Parameter(names = "--json", description = "Print one JSON object per line; no effect on measure and trace")
    private boolean json;

    boolean help() {
        return help;
    }

    boolean json() {
        return json;
    }
}
