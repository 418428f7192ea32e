package org.quetzalvane.core.choice;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Admission in a burst beyond the engines' prefill rate. */
class AdmissionTest {
    private static final long OBJECTIVE_MS = 1_000;
    private final Admission admission = new Admission();

    @ParameterizedTest
    @CsvSource({"0, 500, true", "2, 1100, true", "2, 1300, false", "1, 1300, true", "1, 1700, false", "0, 1900, true"})
    void lowerPrioritiesAreRefusedFirst(int priority, double waitMs, boolean admitted) {
        assertThat(admission.retryAfterMs(priority, OBJECTIVE_MS, waitMs) < 0).isEqualTo(admitted);
    }

    @ParameterizedTest
    @CsvSource({"1201, 100", "3200, 2000"})
    void retryTimeIsTheWaitBeyondTheLimitOrTheMinimum(double waitMs, long expected) {
        assertThat(admission.retryAfterMs(2, OBJECTIVE_MS, waitMs)).isEqualTo(expected);
    }

    /** Requests arrive faster than their prompts are read; the expected wait of those admitted stays bounded. */
    @ParameterizedTest
    @CsvSource({"1.7, 1000", "2.4, 1000", "1.7, 200"})
    void waitOfAdmittedRequestsIsBoundedDuringABurst(double overload, int promptTokens) {
        double tokensPerMs = 12;
        double backlog = 0;
        double arrivalMs = promptTokens / (tokensPerMs * overload);
        for (int i = 0; i < 2_000; i++) {
            backlog = Math.max(0, backlog - arrivalMs * tokensPerMs);
            if (admission.retryAfterMs(2, OBJECTIVE_MS, backlog / tokensPerMs) < 0) {
                backlog += promptTokens;
            }
            assertThat(backlog / tokensPerMs).isLessThan(1.2 * OBJECTIVE_MS + promptTokens / tokensPerMs + 1);
        }
    }
}
