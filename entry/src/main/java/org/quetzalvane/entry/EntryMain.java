package org.quetzalvane.entry;

import java.io.IOException;
import java.nio.file.Path;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import org.quetzalvane.core.exc.QuetzalvaneException;
import org.quetzalvane.platform.BootSettings;
import sun.misc.Signal;

/**
 * Entry point of the daemon on the users' platform; its settings come from the file that the platform names.
 *
 * <p>Exit codes: 0 after a graceful shutdown, 1 on failure, 2 on bad settings or arguments. Used by the main thread
 * only.
 */
public final class EntryMain {
    private static final int EXIT_FAILURE = 1;
    private static final int EXIT_SETTINGS = 2;

    @Parameter(names = "--metrics-port", description = "Port of the metrics as text; none are served without it")
    private int metricsPort;

    @Parameter(names = "--check", description = "Check the settings file and exit")
    private boolean check;

    @Parameter(names = "--train", description = "Run on loopback for a moment, for the build's class archive")
    private boolean train;

    @Parameter(names = "--help", description = "Show this help", help = true)
    private boolean help;

    private EntryMain() {}

    /** Starts a node and serves until it is told to stop. */
    public static void main(String[] args) {
        // The machine id would be looked up on the network interfaces at every start, and nothing here uses it.
        System.setProperty("io.netty.machineId", "00:00:00:00:00:01");
        EntryMain main = new EntryMain();
        JCommander commander = JCommander.newBuilder()
                .programName("quetzalvane-entry")
                .addObject(main)
                .build();
        try {
            commander.parse(args);
            if (main.help) {
                commander.usage();
            } else if (main.train) {
                Training.run();
                System.exit(0);
            } else {
                main.run();
            }
        } catch (ParameterException | QuetzalvaneException | IOException e) {
            System.err.println(e.getMessage());
            System.exit(EXIT_SETTINGS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            System.exit(EXIT_FAILURE);
        } catch (RuntimeException e) {
            e.printStackTrace();
            System.exit(EXIT_FAILURE);
        }
    }

    private void run() throws IOException {
        String path = System.getenv(BootSettings.VARIABLE);
        BootSettings settings = BootSettings.read(Path.of(path == null ? BootSettings.USUAL_PATH : path));
        if (check) {
            System.out.println("settings of " + settings.nodeName() + " hold");
            return;
        }
        EntryNode node = new EntryNode(settings);
        node.start();
        if (metricsPort > 0) {
            node.listenMetrics(metricsPort);
        }
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(node), "shutdown"));
        // Settings that matter to a running node do not change; the signal only must not end the process.
        Signal.handle(new Signal("HUP"), s -> {});
    }

    /** Runs on SIGTERM; the exit code of a signal would be taken for a failure, so the process is halted with 0. */
    private static void stop(EntryNode node) {
        try {
            node.stop();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        Runtime.getRuntime().halt(0);
    }
}
