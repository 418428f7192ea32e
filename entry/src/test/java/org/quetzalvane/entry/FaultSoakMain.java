package org.quetzalvane.entry;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;

import org.quetzalvane.platform.standin.StreamCaller;

/**
 * Runs soaks by hand: FIRST_SEED LAST_SEED NODES SECONDS [KIND,...|all|restores [FAILURE_PERCENT SECOND_COPY_PERCENT]]; prints
 * what each one found.
 */
final class FaultSoakMain {
    private FaultSoakMain() {}

    public static void main(String[] args) throws Exception {
        List<FaultSoak.Fault> kinds = kinds(args.length < 5 ? "all" : args[4]);
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

    /** The kinds of a name: all without a restore of the store, all with it, or those listed. */
    private static List<FaultSoak.Fault> kinds(String name) {
        return switch (name) {
            case "all" -> List.copyOf(FaultSoak.WITHOUT_RESTORE);
            case "restores" -> List.of(FaultSoak.Fault.values());
            default -> Arrays.stream(name.split(","))
                    .map(FaultSoak.Fault::valueOf)
                    .toList();
        };
    }

    private static void print(StreamCaller.Outcome o) {
        System.out.println("  events " + o.events() + " versions " + o.versions() + " complete " + o.complete());
        o.attempts().forEach(a -> System.out.println("    " + a));
    }
}
