package org.quetzalvane.cli;

import java.nio.file.Path;
import java.time.Duration;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.quetzalvane.standins.replay.Trace;
import org.quetzalvane.standins.replay.TraceGenerator;
import org.quetzalvane.standins.replay.WorkloadProfile;

/** Writes a generated trace. Not thread-safe. */
@Parameters(commandDescription = "Generate a trace of a user's requests")
final class TraceCommand extends CommonOptions {

    @Parameter(description = "NAME (vozes or coldwater)", required = true)
    private String name;

    @Parameter(names = "--seed", description = "Seed of the random numbers")
    private long seed = 1;

    @Parameter(names = "--load", description = "Factor on the user's rate of requests")
    private double load = 1;

    @Parameter(names = "--slots", description = "Adapter slots of each engine")
    private int slots = 8;

    @Parameter(names = "--batch", description = "Requests in one batch of an engine")
    private int batch = 16;

    @Parameter(names = "--seconds", description = "Time in which requests arrive")
    private int seconds = 600;

    @Parameter(names = "--out", description = "File to write", required = true)
    private String out;

    @Override
    public int run() throws Exception {
        long millis = Duration.ofSeconds(seconds).toMillis();
        Trace trace = TraceGenerator.generate(WorkloadProfile.of(name), seed, load, slots, batch, millis);
        trace.writeTo(Path.of(out));
        return 0;
    }
}
