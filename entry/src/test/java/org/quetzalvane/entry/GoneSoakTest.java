package org.quetzalvane.entry;

import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/** The soak for a short time; {@link GoneSoakMain} runs many seeds. */
@Timeout(value = 120, unit = TimeUnit.SECONDS)
class GoneSoakTest {
    private static final long SECONDS = 20;

    @TempDir
    private Path directory;

    /** Work went on for callers that had left, by nodes that were held up. */
    @ParameterizedTest
    @CsvSource({"1, 3"})
    void noWorkIsDoneForCallersThatHaveLeft(long seed, int nodes) throws Exception {
        try (GoneSoak soak = new GoneSoak(seed, directory)) {
            soak.run(nodes, SECONDS);
            assertThat(soak.failures()).isEmpty();
            assertThat(soak.judge().passedOnLate()).as(soak.summary()).hasSizeLessThanOrEqualTo(GoneJudge.LATE_ALLOWED);
            double allowed =
                    GoneJudge.WORKED_ON_ALLOWED * soak.judge().longRuns().size();
            assertThat((double) soak.judge().workedOn()).as(soak.summary()).isLessThanOrEqualTo(allowed);
            assertThat(soak.answered()).as(soak.summary()).isPositive();
        }
    }
}
