package org.quetzalvane.bench;

import java.nio.charset.StandardCharsets;

import org.quetzalvane.core.config.ConfigTable;
import org.quetzalvane.core.model.AdapterVersion;
import org.quetzalvane.core.model.Caller;
import org.quetzalvane.core.routing.AccessChecker;
import org.quetzalvane.core.routing.Placement;
import org.quetzalvane.core.time.SystemScheduler;

/** Measures the decisions on the path of a request with several numbers of adapters. Not thread-safe. */
final class DecisionBench {
    private static final int NODES = 70;
    private static final int ENGINES = 250;
    private static final int SLOW_WARM_UP_CALLS = 100;
    private static final int SLOW_MEASURED_CALLS = 1000;
    private static final int[] ADAPTER_COUNTS = {1_000, 30_000, 130_000};

    private final OperationTimer timer;

    DecisionBench(SystemScheduler clock) {
        this.timer = new OperationTimer(clock);
    }

    void run() {
        System.out.println(OperationTimer.HEADER);
        for (int adapters : ADAPTER_COUNTS) {
            measure(adapters);
        }
        DispatchBench dispatch = new DispatchBench();
        timer.measure("submit, dispatch and response on a fake engine", dispatch::request);
    }

    private void measure(int adapters) {
        SampleConfig sample = new SampleConfig()
                .engines(0, ENGINES)
                .callers(0, 1000)
                .adapters(0, adapters)
                .versions(0, adapters)
                .rules(0, adapters);
        ConfigTable table = sample.table();
        SampleRegion region = new SampleRegion().addNodes(0, NODES).assignEngines(0, ENGINES, NODES);
        Placement placement = region.placement(table);
        String size = " at " + adapters + " adapters, " + ENGINES + " engines";
        AdapterVersion[] versions = versions(adapters);
        timer.measure(
                "resolve" + size, i -> placement.route(versions[i % adapters]).orElseThrow());
        AccessChecker access = new AccessChecker(table);
        Caller[] callers = callers();
        timer.measure("access check" + size, SLOW_WARM_UP_CALLS * 10, SLOW_MEASURED_CALLS * 10, i -> {
            int a = i % adapters;
            access.checkAdapter(callers[a % callers.length], versions[a]);
        });
        timer.measure(
                "apply of one change" + size,
                SLOW_WARM_UP_CALLS,
                SLOW_MEASURED_CALLS,
                i -> applyNewAdapter(table, adapters, i));
        timer.measure("apply of one change, then resolve" + size, SLOW_WARM_UP_CALLS, SLOW_MEASURED_CALLS, i -> {
            applyNewAdapter(table, adapters, SLOW_WARM_UP_CALLS + SLOW_MEASURED_CALLS + i);
            placement.route(versions[i % adapters]).orElseThrow();
        });
    }

    private static void applyNewAdapter(ConfigTable table, int adapters, int i) {
        String json =
                SampleConfig.record(1_000_000L + i, "adapter", "new" + adapters + "-" + i, "{\"baseModel\":\"base\"}");
        table.apply(table.appliedOffset() + 1, json.getBytes(StandardCharsets.UTF_8));
    }

    private static AdapterVersion[] versions(int adapters) {
        AdapterVersion[] versions = new AdapterVersion[adapters];
        for (int i = 0; i < adapters; i++) {
            versions[i] = new AdapterVersion("a" + i, 1);
        }
        return versions;
    }

    private static Caller[] callers() {
        Caller[] callers = new Caller[1000];
        for (int i = 0; i < callers.length; i++) {
            callers[i] = new Caller("c" + i, String.format("%064x", i));
        }
        return callers;
    }
}
