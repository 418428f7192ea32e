package org.quetzalvane.core.choice;

import java.util.List;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.quetzalvane.core.residency.AdapterUsage;
import org.quetzalvane.core.routes.AdapterRef;
import org.quetzalvane.core.time.ManualScheduler;

import static org.assertj.core.api.Assertions.assertThat;

/** Demand that one engine cannot carry, and demand for which a copy would only take adapter slots. */
class CopyCountTest {
    @ParameterizedTest
    @CsvSource({"0, 24, 1", "3, 24, 1", "6, 24, 1", "12, 24, 2", "78, 24, 13", "3, 64, 1", "9, 64, 2", "45, 2, 65"})
    void enginesFollowTheLargerOfPrefillAndRequestSlots(int requests, int requestSlots, int engines) {
        assertThat(CopyCount.wanted(requests, 76, 1_300, requestSlots)).isEqualTo(engines);
    }

    /** A node that reports to a hub sees few of the requests itself. */
    @Test
    void demandAtAllNodesIsKnownThroughTheHub() {
        ManualScheduler clock = new ManualScheduler();
        AdapterUsage hub = new AdapterUsage(clock);
        AdapterUsage member = new AdapterUsage(clock);
        AdapterRef ref = new AdapterRef("m", "a1");
        hub.updatePeer("n2", Map.of("e1", List.of(ref, ref, ref, ref, ref), "e2", List.of(ref, ref)));
        member.updateReported(hub.inUseCounts(), hub.popular());
        assertThat(member.requestsInProgress(ref)).isEqualTo(6);
        assertThat(Set.copyOf(hub.popular())).containsExactly(ref);
    }
}
