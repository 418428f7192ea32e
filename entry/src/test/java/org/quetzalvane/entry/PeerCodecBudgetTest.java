package org.quetzalvane.entry;

import java.io.IOException;
import java.util.Arrays;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.quetzalvane.core.team.PeerMessage;

import static org.assertj.core.api.Assertions.assertThat;

/** Messages of allowances on the wire. */
class PeerCodecBudgetTest {
    private static final String ADDRESS = "10.10.10.10:7000";

    static Stream<PeerMessage> messages() {
        return Stream.of(
                new PeerMessage.BudgetRequest(ADDRESS, 1_000, "hule930", 40, 150_800, 150_800, 2_600, 1_300, 0, -650),
                new PeerMessage.BudgetReply(ADDRESS, 1_000, true, 2_600, -3, 0.5, 75_400));
    }

    @ParameterizedTest
    @MethodSource("messages")
    void messageIsDecodedAsItWasEncoded(PeerMessage m) throws IOException {
        PeerCodec codec = new PeerCodec();
        assertThat(codec.decode(codec.encode(m))).isEqualTo(m);
    }

    /** Guards against messages that load the links between data centres: one is sent for each request at worst. */
    @ParameterizedTest
    @MethodSource("messages")
    void messageIsSmall(PeerMessage m) throws IOException {
        assertThat(new PeerCodec().encode(m).length).isLessThanOrEqualTo(64);
    }

    /** Guards against a rolling upgrade that fails: the numbers of the types that older nodes know are unchanged. */
    @Test
    void typesAreAppended() throws IOException {
        PeerCodec codec = new PeerCodec();
        assertThat(codec.encode(new PeerMessage.PermitReturn("a", "e", 1))[0]).isEqualTo((byte) 18);
        assertThat(messages().map(PeerCodecBudgetTest::type).toList()).isEqualTo(Arrays.asList((byte) 20, (byte) 21));
    }

    private static byte type(PeerMessage m) {
        try {
            return new PeerCodec().encode(m)[0];
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
