package org.quetzalvane.bench;

import java.time.Duration;

import org.quetzalvane.core.config.ConfigTable;
import org.quetzalvane.core.ownership.Ownership;
import org.quetzalvane.core.time.SystemScheduler;

/** Times one node's part in the ownership of a region's engines. Not thread-safe. */
final class OwnershipBench {
    private static final int NODES = 70;
    private static final int WARM_UP = 6;
    private static final int SAMPLES = 24;
    private static final Duration CLAIM_INTERVAL = Duration.ofMillis(500);
    private static final int[] ENGINES = {250, 1_500};
    private static final int[] ADAPTERS = {0, 30_000, 130_000};

    private final Timed timed;

    OwnershipBench(SystemScheduler clock) {
        this.timed = new Timed(clock);
    }

    /** Prints a table over the numbers of engines and adapters. */
    void run() {
        System.out.println(Timed.HEADER);
        for (int engines : ENGINES) {
            for (int adapters : ADAPTERS) {
                measure(engines, adapters);
            }
        }
    }

    private void measure(int engines, int adapters) {
        SampleConfig sample =
                new SampleConfig().engines(0, engines).adapters(0, adapters).versions(0, adapters);
        ConfigTable table = sample.table();
        SampleRegion region = new SampleRegion().nodes(0, NODES).claim(0, engines, NODES);
        Ownership ownership = region.ownership(table);
        ownership.start();
        String size = " at " + engines + " engines, " + adapters + " adapters and versions";
        timed.row("look for engines to claim" + size, WARM_UP, SAMPLES, i -> region.advance(CLAIM_INTERVAL));
        timed.row("release and claim of one engine read" + size, WARM_UP, SAMPLES, i -> {
            region.takeOver(ownership, i, 1 + i % (NODES - 1));
        });
    }
}
