package org.quetzalvane.entry;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;

/** Runs soaks by hand: FIRST_SEED LAST_SEED NODES SECONDS [EVENT,...|all [pipelined]]; prints what each one found. */
final class LostSoakMain {
    private LostSoakMain() {}

    public static void main(String[] args) throws Exception {
        List<LostSoak.Event> kinds = args.length < 5 || args[4].equals("all")
                ? List.of(LostSoak.Event.values())
                : Arrays.stream(args[4].split(",")).map(LostSoak.Event::valueOf).toList();
        for (long seed = Long.parseLong(args[0]); seed <= Long.parseLong(args[1]); seed++) {
            Path directory = Files.createTempDirectory("lost-" + seed + "-");
            try (LostSoak soak = new LostSoak(seed, directory, args.length > 5)) {
                soak.run(Integer.parseInt(args[2]), Long.parseLong(args[3]), kinds);
                System.out.println("seed " + seed + " " + directory + ": " + soak.summary());
                soak.judge().lostInCalm(LostSoak.TIMEOUT_MS).forEach(l -> System.out.println("  in calm: " + l));
                soak.judge().lostInStop(LostSoak.TIMEOUT_MS).forEach(l -> System.out.println("  in a stop: " + l));
                soak.failures().forEach(f -> System.out.println("  " + f));
            }
        }
        System.exit(0);
    }
}
