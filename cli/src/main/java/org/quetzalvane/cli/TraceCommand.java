package org.quetzalvane.cli;

import java.nio.file.Path;
import java.time.Duration;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.quetzalvane.standins.replay.Trace;
import org.quetzalvane.standins.replay.TraceGenerator;
import org.quetzalvane.standins.replay.WorkloadProfile;

/** Generates a trace and writes it to a file. Not thread-safe. */
@Parameters(commandDescription = "Generate a trace of the requests of a workload")
final class TraceCommand extends CommonOptions {

    @Parameter(description = "NAME (vozes or coldwater)", required = true)
    private String name;

    @Parameter(names = "--seed", description = "Seed of the random number generator")
    private long seed = 1;

    @Parameter(names = "--load", description = "Factor on the request rate of the workload")
    private double loadFactor = 1;

    @Parameter(names = "--slots", description = "Number of adapter slots of each engine")
    private int slots = 8;

    @Parameter(names = "--batch", description = "Number of requests in a batch of an engine")
    private int batchSize = 16;

    @Parameter(names = "--seconds", description = "Seconds during which requests arrive")
    private int seconds = 600;

    @Parameter(names = "--out", description = "File to write", required = true)
    private String out;

    @Override
    public int run() throws Exception {
        long millis = Duration.ofSeconds(seconds).toMillis();
        Trace trace = TraceGenerator.generate(WorkloadProfile.of(name), seed, loadFactor, slots, batchSize, millis);
        trace.writeTo(Path.of(out));
        return 0;
    }
}
