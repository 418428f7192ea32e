package org.quetzalvane.bench.days;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Result of one day as the users' bench prints it. Immutable.
 *
 * @param credit value of the column {@code worth}
 * @param ruleBroken whether the day broke a rule
 * @param byClass numbers of requests by request class
 */
public record DayResult(double credit, boolean ruleBroken, Map<String, Counts> byClass) {
    private static final int DAY_CREDIT_COLUMN = 3;
    private static final int DAY_COLUMNS = 7;
    private static final int CLASS_COLUMNS = 7;

    public DayResult {
        byClass = Map.copyOf(byClass);
    }

    /**
     * Numbers of requests of one class. Immutable.
     *
     * @param late served after their latency objective
     * @param refused refused as not run
     * @param failed ended otherwise
     */
    public record Counts(int late, int refused, int failed) {}

    /** Reads the output of one run; empty if it holds no result, such as that of a day that was given up early. */
    public static Optional<DayResult> parse(List<String> lines) {
        Map<String, Counts> byClass = new LinkedHashMap<>();
        String day = null;
        String table = "";
        for (String line : lines) {
            if (line.startsWith("day ") || line.startsWith("class ")) {
                table = line.substring(0, line.indexOf(' '));
            } else if (line.isBlank()) {
                table = "";
            } else if (table.equals("day")) {
                day = line;
                table = "";
            } else if (table.equals("class")) {
                String[] columns = line.trim().split("\\s+");
                if (columns.length >= CLASS_COLUMNS) {
                    byClass.put(columns[0], counts(columns));
                }
            }
        }
        if (day == null || day.trim().split("\\s+").length < DAY_COLUMNS) {
            return Optional.empty();
        }
        double credit = Double.parseDouble(day.trim().split("\\s+")[DAY_CREDIT_COLUMN]);
        return Optional.of(new DayResult(credit, day.contains("BROKEN"), byClass));
    }

    /** Columns: class, asked, in aim, late, refused, failed. */
    private static Counts counts(String[] columns) {
        return new Counts(Integer.parseInt(columns[3]), Integer.parseInt(columns[4]), Integer.parseInt(columns[5]));
    }
}
