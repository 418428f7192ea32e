package org.quetzalvane.core.serve;

import java.util.List;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.quetzalvane.core.ResultCode;

import static org.assertj.core.api.Assertions.assertThat;

/** Requests for routes that a node does not know, whose configuration may be out of date. */
class OutdatedConfigTest extends RequestFlowFixture {

    /** A node that could not follow the store refused routes for good that had been added meanwhile. */
    @ParameterizedTest
    @CsvSource({"0, UNKNOWN_PATH, -1", "2000, UNKNOWN_PATH, -1", "2001, NOT_READY, 300", "1099511627776, NOT_READY, 300"
    })
    void unknownRouteIsRefusedForGoodOnlyByAConfigurationThatIsUpToDate(
            long ageMs, ResultCode code, long retryAfterMs) {
        configAgeMs = ageMs;
        start(new CallerRequest(
                "id",
                "GET",
                "h",
                "/added/x",
                "/added/x",
                List.of(),
                new byte[0],
                5_000,
                null,
                new TokenCounts(0, 0, 0, TokenCounts.Statement.ABSENT),
                null,
                null,
                List.of(),
                Credentials.NONE));
        assertThat(response.errorCode).isEqualTo(code);
        assertThat(response.retryAfterMs).isBetween(retryAfterMs, retryAfterMs < 0 ? -1 : retryAfterMs + 200);
        assertThat(client.sent).isEmpty();
    }
}
