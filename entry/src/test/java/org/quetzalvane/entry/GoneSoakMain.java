package org.quetzalvane.entry;

import java.nio.file.Files;
import java.nio.file.Path;

/** Runs soaks by hand: FIRST_SEED LAST_SEED NODES SECONDS; prints what each one found. */
final class GoneSoakMain {
    private GoneSoakMain() {}

    public static void main(String[] args) throws Exception {
        for (long seed = Long.parseLong(args[0]); seed <= Long.parseLong(args[1]); seed++) {
            Path directory = Files.createTempDirectory("gone-" + seed + "-");
            try (GoneSoak soak = new GoneSoak(seed, directory)) {
                soak.run(Integer.parseInt(args[2]), Long.parseLong(args[3]));
                System.out.println("seed " + seed + ": " + soak.summary());
                soak.judge().passedOnLate().forEach(l -> System.out.println("  " + l));
            }
        }
        System.exit(0);
    }
}
