package org.quetzalvane.bench.days;

import java.util.List;
import java.util.Locale;

/**
 * Differences between two checkouts in one measure, one for each pair of plays with the same day and seed. Immutable.
 *
 * @param measure name of the measure
 * @param values later minus earlier checkout
 */
public record PairedDifferences(String measure, List<Double> values) {

    public PairedDifferences {
        values = List.copyOf(values);
    }

    public double mean() {
        return values.stream().mapToDouble(Double::doubleValue).average().orElse(0);
    }

    /** Standard deviation of the differences; 0 for fewer than two. */
    public double standardDeviation() {
        if (values.size() < 2) {
            return 0;
        }
        double mean = mean();
        double squares =
                values.stream().mapToDouble(v -> (v - mean) * (v - mean)).sum();
        return Math.sqrt(squares / (values.size() - 1));
    }

    /** Number of pairs in which the later checkout has the greater value. */
    public long greater() {
        return values.stream().filter(v -> v > 0).count();
    }

    @Override
    public String toString() {
        return String.format(
                Locale.ROOT,
                "%-28s mean %+8.3f  spread %7.3f  greater in %d of %d",
                measure,
                mean(),
                standardDeviation(),
                greater(),
                values.size());
    }
}
