package org.quetzalvane.entry;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;

import org.quetzalvane.platform.standin.StreamCaller;

/**
 * Runs soaks by hand: FIRST_SEED LAST_SEED NODES SECONDS [KIND,...|all [FAILURE_PERCENT SECOND_COPY_PERCENT]]; prints
 * what each one found.
 */
final class FaultSoakMain {
    private FaultSoakMain() {}

    public static void main(String[] args) throws Exception {
        List<FaultSoak.Fault> kinds = args.length < 5 || args[4].equals("all")
                ? List.of(FaultSoak.Fault.values())
                : Arrays.stream(args[4].split(","))
                        .map(FaultSoak.Fault::valueOf)
                        .toList();
        for (long seed = Long.parseLong(args[0]); seed <= Long.parseLong(args[1]); seed++) {
            Path directory = Files.createTempDirectory("soak-" + seed + "-");
            EngineResponses responses = args.length < 7
                    ? new EngineResponses(0, 0)
                    : new EngineResponses(Integer.parseInt(args[5]), Integer.parseInt(args[6]));
            try (FaultSoak soak = new FaultSoak(seed, directory, responses)) {
                soak.run(Integer.parseInt(args[2]), Long.parseLong(args[3]), kinds);
                System.out.println("seed " + seed + " " + directory + ": " + soak.summary());
                soak.outOfOrder().forEach(FaultSoakMain::print);
                soak.mixed().forEach(FaultSoakMain::print);
                soak.foreign().forEach(f -> System.out.println("  " + f));
                soak.repeats().forEach(r -> System.out.println("  " + r));
            }
        }
        System.exit(0);
    }

    private static void print(StreamCaller.Outcome o) {
        System.out.println("  events " + o.events() + " versions " + o.versions() + " complete " + o.complete());
        o.attempts().forEach(a -> System.out.println("    " + a));
    }
}
