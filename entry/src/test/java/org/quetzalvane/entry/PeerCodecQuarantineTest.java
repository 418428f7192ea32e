package org.quetzalvane.entry;

import java.io.IOException;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.quetzalvane.core.quarantine.Clearance;
import org.quetzalvane.core.quarantine.Condemnation;
import org.quetzalvane.core.quarantine.InstanceReport;
import org.quetzalvane.core.quarantine.QuarantineTrials;
import org.quetzalvane.core.team.PeerMessage;

import static org.assertj.core.api.Assertions.assertThat;

/** Messages of the quarantine on the wire. */
class PeerCodecQuarantineTest {
    private static final int MAX_REPORT_BYTES = 2_000;
    /** MessagePack's first byte of an array of five elements. */
    private static final byte ARRAY_OF_FIVE = (byte) 0x95;

    static Stream<PeerMessage> messages() {
        InstanceReport.BegunRequest begun =
                new InstanceReport.BegunRequest(-7, List.of(Long.MIN_VALUE, 0L, Long.MAX_VALUE), 95, 20, true);
        return Stream.of(
                new PeerMessage.CrashReports(
                        "h:1", List.of(new InstanceReport("s", "e", 5, 2, true, 20, List.of(begun, begun)))),
                new PeerMessage.CrashReports("h:1", List.of()),
                new PeerMessage.PartClearances("h:1", List.of(new Clearance("s", List.of(1L), 10, -1))),
                new PeerMessage.QuarantineTrial("h:1", -3, QuarantineTrials.Outcome.CRASHED),
                new PeerMessage.CondemnedParts(
                        "h:1", true, List.of(new Condemnation("s", List.of(1L, 2L), 4, 9, 8, 60_000, -5, 0))),
                new PeerMessage.CondemnedRequest("h:1"));
    }

    @ParameterizedTest
    @MethodSource("messages")
    void messageIsDecodedAsItWasEncoded(PeerMessage m) throws IOException {
        PeerCodec codec = new PeerCodec();
        assertThat(codec.decode(codec.encode(m))).isEqualTo(m);
    }

    /** A node of the software before states no more than the first four fields of a request. */
    @Test
    void requestWithoutItsLastFieldDidNotBreakWithinItsHead() throws IOException {
        PeerCodec codec = new PeerCodec();
        InstanceReport.BegunRequest begun = new InstanceReport.BegunRequest(-7, List.of(), 95, 20, true);
        byte[] frame = codec.encode(new PeerMessage.CrashReports(
                "h:1", List.of(new InstanceReport("s", "e", 5, 2, true, 20, List.of(begun)))));
        byte[] earlier = Arrays.copyOf(frame, frame.length - 1);
        int begunAt = earlier.length - 5;
        assertThat(earlier[begunAt]).isEqualTo(ARRAY_OF_FIVE);
        earlier[begunAt] = ARRAY_OF_FIVE - 1;
        PeerMessage.CrashReports decoded = (PeerMessage.CrashReports) codec.decode(earlier);
        assertThat(decoded.instances().get(0).begun())
                .containsExactly(new InstanceReport.BegunRequest(-7, List.of(), 95, 20, false));
    }

    @Test
    void reportOfTenBegunRequestsIsSmall() throws IOException {
        InstanceReport.BegunRequest begun =
                new InstanceReport.BegunRequest(-7, List.of(Long.MIN_VALUE, 1L << 60, Long.MAX_VALUE), 95, 20, true);
        InstanceReport report =
                new InstanceReport("service", "i-6daccf2d71", 1L << 41, 10, false, 20, Collections.nCopies(10, begun));
        byte[] frame = new PeerCodec().encode(new PeerMessage.CrashReports("127.0.0.1:7000", List.of(report)));
        assertThat(frame.length).isLessThan(MAX_REPORT_BYTES);
    }
}
