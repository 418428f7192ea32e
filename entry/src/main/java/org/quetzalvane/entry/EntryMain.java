package org.quetzalvane.entry;

import java.io.IOException;
import java.nio.file.Path;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import org.quetzalvane.core.exc.QuetzalvaneException;
import org.quetzalvane.platform.BootSettings;

/**
 * Main class of the entry host daemon. The settings are read from the file that the environment variable {@link
 * BootSettings#PATH_VARIABLE} names, or else from {@link BootSettings#DEFAULT_PATH}.
 *
 * <p>Exit codes: 0 after a graceful shutdown, 1 on failure, 2 on invalid settings or arguments. Used by the main thread
 * only.
 */
public final class EntryMain {
    private static final int EXIT_FAILURE = 1;
    private static final int EXIT_SETTINGS = 2;

    @Parameter(
            names = "--metrics-port",
            description = "Port of the metrics in text format; without this option, metrics are not served")
    private int metricsPort;

    @Parameter(names = "--check", description = "Check the settings file and exit")
    private boolean check;

    @Parameter(
            names = "--train",
            description = "Start on loopback and exit; used by the build to create the class data sharing archive")
    private boolean train;

    @Parameter(names = "--help", description = "Show this help", help = true)
    private boolean help;

    private final ProcessSignals signals = new ProcessSignals();

    private EntryMain() {}

    /** Starts a node and serves until the process is stopped. */
    public static void main(String[] args) {
        // Netty otherwise derives the machine id from the network interfaces at every start; nothing here uses it.
        System.setProperty("io.netty.machineId", "00:00:00:00:00:01");
        EntryMain main = new EntryMain();
        // First, since until then a signal ends the process.
        main.signals.install();
        JCommander commander = JCommander.newBuilder()
                .programName("quetzalvane-entry")
                .addObject(main)
                .build();
        try {
            commander.parse(args);
            if (main.help) {
                commander.usage();
            } else if (main.train) {
                ClassArchiveTraining.run();
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
        String path = System.getenv(BootSettings.PATH_VARIABLE);
        BootSettings settings = BootSettings.read(Path.of(path == null ? BootSettings.DEFAULT_PATH : path));
        if (check) {
            System.out.println("settings of node " + settings.nodeName() + " hold");
            return;
        }
        signals.nodeStarting();
        EntryNode node = new EntryNode(settings);
        node.start();
        if (metricsPort > 0) {
            node.listenMetrics(metricsPort);
        }
        signals.nodeStarted(node);
    }
}
