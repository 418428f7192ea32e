package org.quetzalvane.node;

import java.nio.file.Path;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import org.quetzalvane.adapters.logging.LogLevel;
import org.quetzalvane.adapters.settings.NodeSettings;
import org.quetzalvane.core.exc.QuetzalvaneException;

/**
 * Entry point of {@code quetzalvane-node}.
 *
 * <p>Exit codes: 0 after a graceful shutdown, 1 on failure, 2 on bad settings. Used by the main thread only.
 */
public final class NodeMain {
    private static final int EXIT_FAILURE = 1;
    private static final int EXIT_SETTINGS = 2;

    @Parameter(names = "--settings", description = "TOML settings file", required = true)
    private String settings;

    @Parameter(names = "--help", description = "Show this help", help = true)
    private boolean help;

    private NodeMain() {}

    /** Starts a node and serves until it is told to stop. */
    public static void main(String[] args) {
        System.setProperty("java.util.logging.manager", "org.jboss.logmanager.LogManager");
        NodeMain main = new NodeMain();
        JCommander commander = JCommander.newBuilder()
                .programName("quetzalvane-node")
                .addObject(main)
                .build();
        try {
            commander.parse(args);
        } catch (ParameterException e) {
            System.err.println(e.getMessage());
            System.exit(EXIT_SETTINGS);
        }
        if (main.help) {
            commander.usage();
            return;
        }
        System.exit(main.run());
    }

    /** Runs on SIGTERM; the exit code of a signal would be taken for a failure, so the process is halted with 0. */
    private static void stop(NodeRuntime runtime) {
        runtime.stopGracefully();
        Runtime.getRuntime().halt(0);
    }

    private int run() {
        NodeSettings read;
        try {
            read = NodeSettings.load(Path.of(settings));
        } catch (QuetzalvaneException e) {
            System.err.println(e.getMessage());
            return EXIT_SETTINGS;
        }
        LogLevel.set(read.log().level());
        try {
            NodeRuntime runtime = NodeRuntime.start(read);
            Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(runtime), "shutdown"));
            runtime.stopped().join();
            return 0;
        } catch (Exception e) {
            e.printStackTrace();
            return EXIT_FAILURE;
        }
    }
}
