package org.quetzalvane.cli;

import java.nio.file.Path;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.quetzalvane.adapters.settings.NodeSettings;
import org.quetzalvane.core.exc.QuetzalvaneException;

/** Checks a node's settings file. Not thread-safe. */
@Parameters(commandDescription = "Check a settings file of quetzalvane-node")
final class CheckSettingsCommand extends CommonOptions {
    private static final int EXIT_SETTINGS = 2;

    @Parameter(description = "FILE", required = true)
    private String file;

    @Override
    public int run() {
        try {
            NodeSettings.from(Path.of(file));
            System.out.println("ok");
            return 0;
        } catch (QuetzalvaneException e) {
            System.err.println(e.getMessage());
            return EXIT_SETTINGS;
        }
    }
}
