package org.quetzalvane.bench.days;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.ToDoubleFunction;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;

/**
 * Plays days on two checkouts with the same seeds and prints the paired differences with their spread. The plays run
 * one after the other; each checkout keeps its own journal. Single-threaded.
 */
public final class DayComparisonMain {
    @Parameter(names = "--bench", required = true, description = "Program of the users' bench")
    private Path bench;

    @Parameter(names = "--site", required = true, description = "File of the deployment")
    private Path site;

    @Parameter(names = "--earlier", required = true, description = "Checkout of the earlier commit")
    private Path earlier;

    @Parameter(names = "--later", required = true, description = "Checkout of the later commit")
    private Path later;

    @Parameter(names = "--days", required = true, description = "Names or files of days, separated by commas")
    private List<String> days = new ArrayList<>();

    @Parameter(names = "--seeds", required = true, description = "Seeds, separated by commas")
    private List<Long> seeds = new ArrayList<>();

    @Parameter(names = "--why", required = true, description = "Reason, for the journal")
    private String why;

    private DayComparisonMain() {}

    /** Results of one day and seed on both checkouts. */
    private record Pair(DayResult earlier, DayResult later) {}

    /** Plays the days; exits with 2 if an option is missing or wrong. */
    public static void main(String[] args) throws IOException, InterruptedException {
        DayComparisonMain main = new DayComparisonMain();
        JCommander.newBuilder().addObject(main).build().parse(args);
        main.compare();
    }

    private void compare() throws IOException, InterruptedException {
        List<Pair> pairs = new ArrayList<>();
        for (String day : days) {
            for (long seed : seeds) {
                Optional<DayResult> before = play(earlier, day, seed);
                Optional<DayResult> after = play(later, day, seed);
                if (before.isEmpty() || after.isEmpty()) {
                    System.out.printf("%s seed %d: no result%n", day, seed);
                    continue;
                }
                Pair pair = new Pair(before.get(), after.get());
                System.out.printf("%s seed %d: %s -> %s%n", day, seed, summary(pair.earlier), summary(pair.later));
                pairs.add(pair);
            }
        }
        print(pairs);
    }

    private static String summary(DayResult r) {
        return r.credit() + (r.ruleBroken() ? " (rule broken)" : "");
    }

    private Optional<DayResult> play(Path checkout, String day, long seed) throws IOException, InterruptedException {
        Process p = new ProcessBuilder(
                        bench.toAbsolutePath().toString(),
                        "run",
                        site.toAbsolutePath().toString(),
                        day,
                        "--seed",
                        Long.toString(seed),
                        "--no-cpu",
                        "--why",
                        why)
                .directory(checkout.toFile())
                .redirectErrorStream(true)
                .start();
        List<String> lines = new String(p.getInputStream().readAllBytes(), StandardCharsets.UTF_8)
                .lines()
                .toList();
        p.waitFor();
        return DayResult.parse(lines);
    }

    private static void print(List<Pair> pairs) {
        System.out.println(differences("worth", pairs, DayResult::credit));
        TreeSet<String> classes = new TreeSet<>();
        pairs.forEach(p -> classes.addAll(p.earlier.byClass().keySet()));
        for (String c : classes) {
            System.out.println(differences(c + " late", pairs, r -> counts(r, c).late()));
            System.out.println(
                    differences(c + " refused", pairs, r -> counts(r, c).refused()));
            System.out.println(
                    differences(c + " failed", pairs, r -> counts(r, c).failed()));
        }
    }

    private static DayResult.Counts counts(DayResult r, String requestClass) {
        return r.byClass().getOrDefault(requestClass, new DayResult.Counts(0, 0, 0));
    }

    private static PairedDifferences differences(String measure, List<Pair> pairs, ToDoubleFunction<DayResult> value) {
        return new PairedDifferences(
                measure,
                pairs.stream()
                        .map(p -> value.applyAsDouble(p.later) - value.applyAsDouble(p.earlier))
                        .toList());
    }
}
