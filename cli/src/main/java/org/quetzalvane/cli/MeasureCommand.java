package org.quetzalvane.cli;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.quetzalvane.standins.replay.PolicyComparison;
import org.quetzalvane.standins.replay.WorkloadProfile;

/** Replays generated workloads with the default and the baseline policy, for docs/MEASUREMENTS.md. Not thread-safe. */
@Parameters(
        commandDescription = "Compare the default policy with the baseline by replaying traces, as a Markdown table")
final class MeasureCommand extends CommonOptions {

    @Parameter(names = "--users", description = "Workloads (vozes, coldwater), separated by commas")
    private List<String> workloads = new ArrayList<>(List.of("vozes", "coldwater"));

    @Parameter(names = "--slots", description = "Numbers of adapter slots of each engine, separated by commas")
    private List<Integer> slots = new ArrayList<>(List.of(8, 32));

    @Parameter(names = "--seed", description = "Seed of the random number generator")
    private long seed = 1;

    @Parameter(names = "--seconds", description = "Seconds during which requests arrive")
    private int seconds = 600;

    @Parameter(names = "--faults", description = "Compare for every fault instead of every load level")
    private boolean faults;

    @Override
    public int run() {
        PolicyComparison comparison = new PolicyComparison(seed, Duration.ofSeconds(seconds));
        System.out.println(PolicyComparison.HEADER);
        for (String workload : workloads) {
            for (int s : slots) {
                WorkloadProfile profile = WorkloadProfile.of(workload);
                List<String> rows =
                        faults ? comparison.compareFaults(profile, s) : comparison.compareLoadLevels(profile, s);
                rows.forEach(System.out::println);
            }
        }
        return 0;
    }
}
