package org.quetzalvane.bench;

import java.time.Duration;

import org.quetzalvane.core.config.ConfigTable;
import org.quetzalvane.core.ownership.Ownership;
import org.quetzalvane.core.time.SystemScheduler;

/** Measures the time that one node spends on the ownership of the engines of its region. Not thread-safe. */
final class OwnershipBench {
    private static final int NODES = 70;
    /**
     * Number of calls before the measured ones. All calls together advance the clock by 15 s, less than the 20 s lease
     * of the sample nodes, so that no engine becomes claimable.
     */
    private static final int WARM_UP_CALLS = 6;

    private static final int MEASURED_CALLS = 24;
    private static final Duration CLAIM_INTERVAL = Duration.ofMillis(500);
    private static final int[] ENGINE_COUNTS = {250, 1_500};
    private static final int[] ADAPTER_COUNTS = {0, 30_000, 130_000};

    private final OperationTimer timer;

    OwnershipBench(SystemScheduler clock) {
        this.timer = new OperationTimer(clock);
    }

    /** Prints a table for several numbers of engines and adapters. */
    void run() {
        System.out.println(OperationTimer.HEADER);
        for (int engines : ENGINE_COUNTS) {
            for (int adapters : ADAPTER_COUNTS) {
                measure(engines, adapters);
            }
        }
    }

    private void measure(int engines, int adapters) {
        SampleConfig sample =
                new SampleConfig().engines(0, engines).adapters(0, adapters).versions(0, adapters);
        ConfigTable table = sample.table();
        SampleRegion region = new SampleRegion().addNodes(0, NODES).assignEngines(0, engines, NODES);
        Ownership ownership = region.ownership(table);
        ownership.start();
        String size = " at " + engines + " engines, " + adapters + " adapters and versions";
        timer.measure(
                "check for engines to claim" + size,
                WARM_UP_CALLS,
                MEASURED_CALLS,
                i -> region.advance(CLAIM_INTERVAL));
        timer.measure("apply of the release and claim of one engine" + size, WARM_UP_CALLS, MEASURED_CALLS, i -> {
            region.transfer(ownership, i, 1 + i % (NODES - 1));
        });
    }
}
