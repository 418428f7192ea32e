package org.quetzalvane.cli;

/** A subcommand. The argument parser fills its fields, then it is run once. Not thread-safe. */
interface Command {

    /** Runs the subcommand and returns the exit code: 0 success, 1 failure, 2 wrong usage or invalid settings. */
    int run() throws Exception;
}
