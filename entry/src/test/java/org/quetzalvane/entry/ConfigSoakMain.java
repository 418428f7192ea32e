package org.quetzalvane.entry;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;

/** Runs soaks by hand: FIRST_SEED LAST_SEED NODES SECONDS [KIND,...]; prints what each one found. */
final class ConfigSoakMain {
    private ConfigSoakMain() {}

    public static void main(String[] args) throws Exception {
        List<ConfigSoak.Fault> kinds = args.length < 5
                ? List.of(ConfigSoak.Fault.values())
                : Arrays.stream(args[4].split(","))
                        .map(ConfigSoak.Fault::valueOf)
                        .toList();
        for (long seed = Long.parseLong(args[0]); seed <= Long.parseLong(args[1]); seed++) {
            Path directory = Files.createTempDirectory("config-soak-" + seed + "-");
            try (ConfigSoak soak = new ConfigSoak(seed, Integer.parseInt(args[2]), directory)) {
                soak.run(Long.parseLong(args[3]), kinds);
                System.out.println("seed " + seed + " " + directory + ": " + soak.summary());
                soak.judge().late().forEach(v -> System.out.println("  late " + v));
                soak.judge().reverted().forEach(v -> System.out.println("  reverted " + v));
                soak.judge().impossible().forEach(v -> System.out.println("  impossible " + v));
                soak.judge().refused().forEach(v -> System.out.println("  refused " + v));
            }
        }
        System.exit(0);
    }
}
