package org.quetzalvane.node;

import java.nio.file.Path;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import org.quetzalvane.adapters.logging.LogLevel;
import org.quetzalvane.adapters.settings.NodeSettings;
import org.quetzalvane.core.exc.QuetzalvaneException;

/**
 * Main class of {@code quetzalvane-node}, the stand-alone node daemon.
 *
 * <p>Exit codes: 0 after a graceful shutdown, 1 on failure, 2 on invalid settings or arguments. Used by the main thread
 * only.
 */
public final class NodeMain {
    private static final int EXIT_FAILURE = 1;
    private static final int EXIT_SETTINGS = 2;

    @Parameter(names = "--settings", description = "TOML settings file", required = true)
    private String settings;

    @Parameter(names = "--help", description = "Show this help", help = true)
    private boolean help;

    private NodeMain() {}

    /** Starts a node and serves until the process is stopped. */
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

    /**
     * Runs on SIGTERM: drains the node and halts the process with exit code 0, since the exit code that the JVM gives
     * after a signal counts as a failure.
     */
    private static void stop(NodeProcess process) {
        process.stopGracefully();
        Runtime.getRuntime().halt(0);
    }

    private int run() {
        NodeSettings parsed;
        try {
            parsed = NodeSettings.load(Path.of(settings));
        } catch (QuetzalvaneException e) {
            System.err.println(e.getMessage());
            return EXIT_SETTINGS;
        }
        LogLevel.set(parsed.log().level());
        try {
            NodeProcess process = NodeProcess.start(parsed);
            Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(process), "shutdown"));
            process.stopped().join();
            return 0;
        } catch (Exception e) {
            e.printStackTrace();
            return EXIT_FAILURE;
        }
    }
}
