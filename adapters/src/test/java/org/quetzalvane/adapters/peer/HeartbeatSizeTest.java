package org.quetzalvane.adapters.peer;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.quetzalvane.core.cluster.NodeInfo;
import org.quetzalvane.core.model.DataCentre;
import org.quetzalvane.core.peer.PeerMessage;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Checks that an encoded heartbeat with 8 observations, without its frame, stays within 520 bytes; the figures in
 * docs/design/membership.md are based on this size.
 */
class HeartbeatSizeTest {
    private static final int MAX_OBSERVATIONS = 8;
    private static final int MAX_BYTES = 520;

    @Test
    void fullHeartbeatStaysWithinSizeLimit() {
        DataCentre dataCentre = new DataCentre("eu-central", "eu-central-dc-04");
        NodeInfo info = new NodeInfo(
                "entry-eu-0417",
                1_764_800_000_123L,
                "host-eu-0417",
                dataCentre,
                "10.20.30.40:7001",
                "10.20.30.40:7003");
        List<PeerMessage.MemberObservation> observations = new ArrayList<>();
        for (int i = 0; i < MAX_OBSERVATIONS; i++) {
            observations.add(
                    new PeerMessage.MemberObservation("entry-eu-04" + (20 + i), 1_764_800_000_456L, false, 7_500));
        }
        PeerMessage heartbeat =
                new PeerMessage.Heartbeat(info, false, 1_000_000, 1_764_800_000_123L << 16, observations);
        int bytes = FrameCodec.encode(heartbeat).length;
        assertThat(bytes).isLessThanOrEqualTo(MAX_BYTES);
    }
}
