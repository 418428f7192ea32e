package org.quetzalvane.cli;

import java.nio.file.Path;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import org.quetzalvane.adapters.http.Json;
import org.quetzalvane.core.load.DispatchConfig;
import org.quetzalvane.core.node.NodeConfig;
import org.quetzalvane.standins.replay.ReplayReport;
import org.quetzalvane.standins.replay.Trace;
import org.quetzalvane.standins.replay.TraceReplayer;

/** Replays a trace against the production decision code and checks its expected outcomes. Not thread-safe. */
@Parameters(commandDescription = "Replay a trace against the decision code on a simulated clock")
final class ReplayCommand extends CommonOptions {

    @Parameter(description = "TRACE", required = true)
    private String file;

    @Parameter(
            names = "--policy",
            description = "baseline for LRU eviction and loads in order of arrival; any other value for the default")
    private String policy = "default";

    @Override
    public int run() throws Exception {
        Trace trace = Trace.readFrom(Path.of(file));
        NodeConfig config = TraceReplayer.nodeConfig(trace.header());
        if (policy.equals("baseline")) {
            config = config.withDispatch(DispatchConfig.baseline());
        }
        ReplayReport report = TraceReplayer.replay(trace, config);
        print(report);
        return report.satisfies(trace.header().expect()) ? 0 : 1;
    }

    private void print(ReplayReport report) {
        JsonNode tree = Json.tree(report);
        if (json()) {
            System.out.println(Json.text(tree));
        } else {
            tree.fields().forEachRemaining(f -> System.out.printf("%-18s %s%n", f.getKey(), f.getValue()));
        }
    }
}
