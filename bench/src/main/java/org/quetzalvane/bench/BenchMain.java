package org.quetzalvane.bench;

import org.quetzalvane.core.time.SystemScheduler;

/**
 * Entry point of the benchmarks: {@code decisions} for decision times, {@code slopes} for the cost of each object in
 * the state of a node, {@code ownership} for the time that a node spends on the ownership of engines.
 *
 * <p>The exit code is 2 on wrong usage. Used by the main thread only.
 */
public final class BenchMain {
    private static final int EXIT_USAGE = 2;

    private BenchMain() {}

    /** Runs one kind of benchmark and prints its tables. */
    public static void main(String[] args) {
        String kind = args.length == 1 ? args[0] : "";
        try (SystemScheduler clock = new SystemScheduler(1)) {
            switch (kind) {
                case "decisions" -> new DecisionBench(clock).run();
                case "slopes" -> new StateCostBench(clock).run();
                case "ownership" -> new OwnershipBench(clock).run();
                default -> {
                    System.err.println("usage: quetzalvane-bench decisions|slopes|ownership");
                    System.exit(EXIT_USAGE);
                }
            }
        }
    }
}
