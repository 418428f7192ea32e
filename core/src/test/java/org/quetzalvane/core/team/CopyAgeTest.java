package org.quetzalvane.core.team;

import java.util.OptionalLong;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class CopyAgeTest {
    private static final long INTERVAL_MS = 1_000;
    private static final long END_OF_COPY = 100;

    private final CopyAge age = new CopyAge(INTERVAL_MS);

    private void report(String id, long bornMs, long count, long position) {
        age.reported(new ReportCounts.Instance(id, bornMs), count, position);
    }

    /** Reports of two endpoints, then the counts that a copy contains. */
    private ReportCounts counted(long first, long second) {
        report("e1", 1, first, 1);
        report("e2", 1, second, 2);
        return age.counts(0);
    }

    @ParameterizedTest
    @CsvSource({"17, 28, 10000", "18, 24, 10000", "11, 21, 1250"})
    void ageFollowsFromTheInstanceThatWroteMostReports(long first, long second, long longestMs) {
        ReportCounts inCopy = counted(10, 20);
        age.restored();
        age.listed(END_OF_COPY);
        report("e1", 1, first, END_OF_COPY);
        report("e2", 1, second, END_OF_COPY + 1);
        assertThat(age.longestMs(inCopy)).hasValue(longestMs);
    }

    /** An entry that the copy contains, or that was listed with it, says nothing of the time after the copy. */
    @ParameterizedTest
    @CsvSource({"90, 101", "101, 90"})
    void reportsBeforeTheEndOfTheFirstListingDoNotCount(long firstPosition, long secondPosition) {
        ReportCounts inCopy = counted(10, 20);
        age.restored();
        age.listed(END_OF_COPY);
        report("e1", 1, 17, firstPosition);
        report("e2", 1, 27, secondPosition);
        assertThat(age.longestMs(inCopy)).isEmpty();
    }

    @Test
    void nothingIsKnownBeforeTheListWasReadSinceTheRestore() {
        ReportCounts inCopy = counted(10, 20);
        age.listed(END_OF_COPY);
        age.restored();
        report("e1", 1, 17, END_OF_COPY);
        report("e2", 1, 27, END_OF_COPY + 1);
        assertThat(age.longestMs(inCopy)).isEmpty();
    }

    /** A new instance under the id of another one counts its reports anew; without a count there is no evidence. */
    @ParameterizedTest
    @CsvSource({"2, 17", "1, 0", "1, 10"})
    void instancesThatDoNotCountOnAreNoEvidence(long bornMs, long count) {
        ReportCounts inCopy = counted(10, 20);
        age.listed(END_OF_COPY);
        report("e1", bornMs, count, END_OF_COPY);
        report("e2", 1, 27, END_OF_COPY + 1);
        assertThat(age.longestMs(inCopy)).isEmpty();
    }

    @Test
    void oneInstanceIsEnoughIfNoOtherWasRecorded() {
        report("e1", 1, 10, 1);
        ReportCounts inCopy = age.counts(0);
        age.listed(END_OF_COPY);
        assertThat(age.longestMs(inCopy)).isEmpty();
        report("e1", 1, 14, END_OF_COPY);
        assertThat(age.longestMs(inCopy)).isEqualTo(OptionalLong.of(5_000));
    }

    @Test
    void copyWithoutCountsProvesNothing() {
        ReportCounts inCopy = age.counts(0);
        age.listed(END_OF_COPY);
        report("e1", 1, 14, END_OF_COPY);
        assertThat(age.longestMs(inCopy)).isEmpty();
    }

    @Test
    void countsOfTheInstancesThatHaveLivedLongestAreRecorded() {
        for (int i = 0; i < 2 * CopyAge.MAX_INSTANCES; i++) {
            report("e" + i, 100 - i, 1, i);
        }
        age.removed("e20");
        ReportCounts counts = age.counts(0);
        assertThat(counts.counts()).hasSize(CopyAge.MAX_INSTANCES);
        assertThat(counts.counts().keySet())
                .contains(new ReportCounts.Instance("e31", 69))
                .doesNotContain(new ReportCounts.Instance("e20", 80), new ReportCounts.Instance("e0", 100));
    }

    @Test
    void countsAreDecodedAsTheyWereEncoded() {
        ReportCounts counts = counted(10, 20);
        assertThat(ReportCounts.decode(counts.encode())).isEqualTo(counts);
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "x", "1\ne1 2", "1\ne1 2 x", "1\ne1 2 3 4"})
    void malformedCountsAreRejected(String text) {
        assertThat(ReportCounts.decode(text.getBytes())).isNull();
    }
}
