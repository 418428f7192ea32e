package org.quetzalvane.bench.days;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

class DayResultTest {
    private static final List<String> OUTPUT = List.of(
            "built in 5.5 s; 34191 lines in 444 files",
            "day                  own/srv  score  worth served refused failed  weakest part",
            "scale-1                 8/16   0.44  0.512  0.749   0.028  0.065  worst windows 0.30",
            "",
            "class                asked  in aim   late refused failed not owed  worth   p50 ms   p99 ms",
            "inscription-draft     3703    2051   1259      75    318        0  0.610    498.0   6827.1",
            "order-place            667     640     21       0      6        0  0.969     85.6   1150.7",
            "",
            "clients' zone        asked  in aim   late refused failed not owed  worth   p50 ms   p99 ms",
            "pk-north-a            1104     744    219      45     96        0  0.662    280.2   6732.4");

    @Test
    void readsTheDayAndItsRequestClasses() {
        DayResult r = DayResult.parse(OUTPUT).orElseThrow();
        assertThat(r.credit()).isEqualTo(0.512);
        assertThat(r.ruleBroken()).isFalse();
        assertThat(r.byClass()).hasSize(2).containsEntry("inscription-draft", new DayResult.Counts(1_259, 75, 318));
    }

    @Test
    void outputWithoutAResultIsEmpty() {
        assertThat(DayResult.parse(OUTPUT.subList(0, 2))).isEmpty();
    }

    @ParameterizedTest
    @CsvSource({"0.02, 0.04, 0.03, 0.01414, 2", "-0.01, 0.01, 0, 0.01414, 1", "0.05, 0.05, 0.05, 0, 2"})
    void differencesHaveMeanAndSpread(double first, double second, double mean, double deviation, int greater) {
        PairedDifferences d = new PairedDifferences("worth", List.of(first, second));
        assertThat(d.mean()).isEqualTo(mean, within(1e-5));
        assertThat(d.standardDeviation()).isEqualTo(deviation, within(1e-5));
        assertThat(d.greater()).isEqualTo(greater);
    }
}
