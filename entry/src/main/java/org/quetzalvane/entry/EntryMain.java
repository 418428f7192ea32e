package org.quetzalvane.entry;

import java.io.IOException;
import java.nio.file.Path;

import org.quetzalvane.core.exc.QuetzalvaneException;
import org.quetzalvane.platform.BootSettings;
import sun.misc.Signal;

/**
 * Entry point of the daemon on the users' platform; its settings come from the file that the platform names.
 *
 * <p>Exit codes: 0 after a graceful shutdown, 1 on failure, 2 on bad settings. Used by the main thread only.
 */
public final class EntryMain {
    private static final int EXIT_FAILURE = 1;
    private static final int EXIT_SETTINGS = 2;

    /** Argument of the build's training run. */
    private static final String TRAIN = "--train";

    private EntryMain() {}

    /** Starts a node and serves until it is told to stop. */
    public static void main(String[] args) {
        System.setProperty("io.netty.machineId", "00:00:00:00:00:01");
        System.setProperty("io.netty.noUnsafe", "false");
        String path = System.getenv(BootSettings.VARIABLE);
        try {
            if (args.length == 1 && args[0].equals(TRAIN)) {
                Training.run();
                System.exit(0);
            }
            BootSettings settings = BootSettings.read(Path.of(path == null ? BootSettings.USUAL_PATH : path));
            EntryNode node = new EntryNode(settings);
            node.start();
            Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(node), "shutdown"));
            // Settings that matter to a running node do not change; the signal only must not end the process.
            Signal.handle(new Signal("HUP"), s -> {});
        } catch (QuetzalvaneException | IOException e) {
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
