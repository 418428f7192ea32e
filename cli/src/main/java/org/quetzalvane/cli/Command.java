package org.quetzalvane.cli;

/** One subcommand. Parsed by the argument library into its fields, then run once. Not thread-safe. */
interface Command {

    /** Runs and returns the exit code: 0 success, 1 failure, 2 wrong usage or settings. */
    int run() throws Exception;
}
