package org.quetzalvane.bench;

import org.quetzalvane.core.time.SystemScheduler;

/**
 * Entry point of the measures: {@code decisions} for the time of the decisions, {@code slopes} for what the state of a
 * node costs, {@code ownership} for the time of its part in ownership.
 *
 * <p>Exit code 2 on wrong usage. Used by the main thread only.
 */
public final class BenchMain {
    private static final int EXIT_USAGE = 2;

    private BenchMain() {}

    /** Prints the tables of one kind of measure. */
    public static void main(String[] args) {
        String kind = args.length == 1 ? args[0] : "";
        try (SystemScheduler clock = new SystemScheduler(1)) {
            switch (kind) {
                case "decisions" -> new DecisionBench(clock).run();
                case "slopes" -> new SlopeBench(clock).run();
                case "ownership" -> new OwnershipBench(clock).run();
                default -> {
                    System.err.println("usage: quetzalvane-bench decisions|slopes|ownership");
                    System.exit(EXIT_USAGE);
                }
            }
        }
    }
}
