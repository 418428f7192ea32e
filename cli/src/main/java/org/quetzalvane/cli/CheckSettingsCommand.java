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

/** Checks the settings file of a node and prints all violations; exit code 2 if there are any. Not thread-safe. */
@Parameters(commandDescription = "Check a settings file of quetzalvane-node")
final class CheckSettingsCommand extends CommonOptions {
    private static final int EXIT_INVALID_SETTINGS = 2;

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
            return EXIT_INVALID_SETTINGS;
        }
    }

    private static ObjectNode result(List<SettingsException.Violation> violations) {
        ObjectNode result = Json.object().put("valid", violations.isEmpty());
        ArrayNode array = result.putArray("faults");
        violations.forEach(v ->
                array.addObject().put("key", v.key()).put("value", v.value()).put("message", v.message()));
        return result;
    }
}
