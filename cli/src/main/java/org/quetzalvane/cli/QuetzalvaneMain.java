package org.quetzalvane.cli;

import java.util.LinkedHashMap;
import java.util.Map;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import org.quetzalvane.core.exc.QuetzalvaneException;

/**
 * Entry point of {@code quetzalvane}, the command line tool for operators.
 *
 * <p>Exit codes: 0 success, 1 failure, 2 wrong usage or settings. Used by the main thread only.
 */
public final class QuetzalvaneMain {
    private static final int EXIT_FAILURE = 1;
    private static final int EXIT_USAGE = 2;

    @Parameter(names = "--help", description = "Show this help", help = true)
    private boolean help;

    private QuetzalvaneMain() {}

    /** Runs a subcommand and exits with its exit code. */
    public static void main(String[] args) {
        System.setProperty("java.util.logging.manager", "org.jboss.logmanager.LogManager");
        System.exit(run(args));
    }

    static int run(String... args) {
        QuetzalvaneMain main = new QuetzalvaneMain();
        Map<String, Command> commands = new LinkedHashMap<>();
        commands.put("publish", new PublishCommand());
        commands.put("status", new StatusCommand());
        commands.put("timeline", new TimelineCommand());
        commands.put("explain", new ExplainCommand());
        commands.put("accounts", new AccountsCommand());
        commands.put("check-settings", new CheckSettingsCommand());
        commands.put("trace", new TraceCommand());
        commands.put("replay", new ReplayCommand());
        commands.put("measure", new MeasureCommand());
        JCommander.Builder builder =
                JCommander.newBuilder().programName("quetzalvane").addObject(main);
        commands.forEach(builder::addCommand);
        JCommander commander = builder.build();
        try {
            commander.parse(args);
        } catch (ParameterException e) {
            System.err.println(e.getMessage());
            return EXIT_USAGE;
        }
        String name = commander.getParsedCommand();
        if (name == null) {
            return usage(commander, main.help);
        }
        CommonOptions options = (CommonOptions) commands.get(name);
        if (options.help()) {
            commander.getCommands().get(name).usage();
            return 0;
        }
        return run(commands.get(name));
    }

    private static int usage(JCommander commander, boolean requested) {
        StringBuilder text = new StringBuilder();
        commander.getUsageFormatter().usage(text);
        (requested ? System.out : System.err).print(text);
        return requested ? 0 : EXIT_USAGE;
    }

    private static int run(Command command) {
        try {
            return command.run();
        } catch (QuetzalvaneException e) {
            System.err.println(e.code().number() + " " + e.code() + ": " + e.getMessage());
            return EXIT_FAILURE;
        } catch (Exception e) {
            System.err.println(e);
            return EXIT_FAILURE;
        }
    }
}
