package org.quetzalvane.cli;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.quetzalvane.standins.replay.PolicyComparison;
import org.quetzalvane.standins.replay.WorkloadProfile;

/** Prints the table of docs/MEASUREMENTS.md. Not thread-safe. */
@Parameters(commandDescription = "Compare the decisions with the first baseline by replay, as a Markdown table")
final class MeasureCommand extends CommonOptions {

    @Parameter(names = "--users", description = "Users, separated by commas")
    private List<String> users = new ArrayList<>(List.of("vozes", "coldwater"));

    @Parameter(names = "--slots", description = "Adapter slots of each engine, separated by commas")
    private List<Integer> slots = new ArrayList<>(List.of(8, 32));

    @Parameter(names = "--seed", description = "Seed of the random numbers")
    private long seed = 1;

    @Parameter(names = "--seconds", description = "Time in which requests arrive")
    private int seconds = 600;

    @Parameter(names = "--faults", description = "Measure every fault instead of every load level")
    private boolean faults;

    @Override
    public int run() {
        PolicyComparison m = new PolicyComparison(seed, Duration.ofSeconds(seconds));
        System.out.println(PolicyComparison.HEADER);
        for (String user : users) {
            for (int s : slots) {
                WorkloadProfile profile = WorkloadProfile.of(user);
                List<String> rows = faults ? m.compareFaults(profile, s) : m.compareLoadLevels(profile, s);
                rows.forEach(System.out::println);
            }
        }
        return 0;
    }
}
