package org.quetzalvane.cli;

import java.nio.file.Path;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.quetzalvane.adapters.http.Json;
import org.quetzalvane.adapters.settings.NodeSettings;
import org.quetzalvane.core.exc.SettingsException;

/** Checks a node's settings file; exit code 2 when it has faults, all of which are printed. Not thread-safe. */
@Parameters(commandDescription = "Check a settings file of quetzalvane-node")
final class CheckSettingsCommand extends CommonOptions {
    private static final int EXIT_SETTINGS = 2;

    @Parameter(description = "FILE", required = true)
    private String file;

    @Override
    public int run() {
        try {
            NodeSettings.load(Path.of(file));
            System.out.println(json() ? Json.text(result(List.of())) : "ok");
            return 0;
        } catch (SettingsException e) {
            if (json()) {
                System.out.println(Json.text(result(e.violations())));
            } else {
                System.err.println(e.getMessage());
            }
            return EXIT_SETTINGS;
        }
    }

    private static ObjectNode result(List<SettingsException.Violation> faults) {
        ObjectNode result = Json.object().put("valid", faults.isEmpty());
        ArrayNode list = result.putArray("faults");
        faults.forEach(f ->
                list.addObject().put("key", f.key()).put("value", f.value()).put("message", f.message()));
        return result;
    }
}
