package org.quetzalvane.core.ownership;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.quetzalvane.core.cluster.NodeInfo;
import org.quetzalvane.core.model.DataCentre;

import static org.assertj.core.api.Assertions.assertThat;

/** Fold of the ownership stream. */
class ClaimTableTest {
    private static final String ENGINE = "e1";

    private final ClaimTable table = new ClaimTable();

    @Test
    void claimNamingSupersededLeaseRecordFails() {
        apply(table, 0, renewal("n1", 1));
        apply(table, 1, renewal("n2", 1));
        assertThat(wins(table, 2, "n1", ClaimTable.UNHELD)).isTrue();
        apply(table, 3, renewal("n1", 1));
        assertThat(wins(table, 4, "n2", 2)).as("the holder renewed").isFalse();
        assertThat(wins(table, 5, "n2", 3)).isTrue();
        assertThat(wins(table, 6, "n1", 3)).as("another claim won").isFalse();
    }

    @Test
    void renewalOfAnOlderIncarnationDoesNotCount() {
        apply(table, 0, renewal("n1", 2));
        assertThat(table.apply(1, renewal("n1", 1), 0).counted()).isFalse();
        assertThat(wins(table, 2, "n1", 1, ClaimTable.UNHELD)).isFalse();
    }

    @Test
    void lateStarterKnowsNothingBeforeASnapshotAndThenTheSame() {
        apply(table, 0, renewal("n1", 1));
        assertThat(wins(table, 1, "n1", ClaimTable.UNHELD)).isTrue();
        ClaimTable late = new ClaimTable();
        ClaimRecord.Snapshot snapshot = table.snapshot().orElseThrow();
        both(late, 2, renewal("n2", 1));
        both(late, 3, renewal("n1", 1));
        assertThat(late.whole()).isFalse();
        assertThat(late.holder(ENGINE)).isEmpty();
        both(late, 4, snapshot);
        assertThat(late.whole()).isTrue();
        assertThat(late.holder(ENGINE)).isEqualTo(table.holder(ENGINE)).isPresent();
        assertThat(late.supersedes(ENGINE)).isEqualTo(table.supersedes(ENGINE)).isEqualTo(3);
    }

    @Test
    void resetFailsWhenAWholeNodeRenewedAfterItsWriterRead() {
        apply(table, 0, renewal("n1", 1));
        assertThat(wins(table, 1, "n1", ClaimTable.UNHELD)).isTrue();
        apply(table, 2, renewal("n1", 1));
        apply(table, 3, new ClaimRecord.Reset(2, -1));
        assertThat(table.holder(ENGINE)).isPresent();
        apply(table, 4, new ClaimRecord.Reset(2, 2));
        assertThat(table.holder(ENGINE)).isEmpty();
    }

    private void both(ClaimTable late, long offset, ClaimRecord r) {
        apply(table, offset, r);
        apply(late, offset, r);
    }

    private static boolean wins(ClaimTable t, long offset, String node, long supersedes) {
        return wins(t, offset, node, 1, supersedes);
    }

    private static boolean wins(ClaimTable t, long offset, String node, long incarnation, long supersedes) {
        ClaimRecord.EngineClaim e = new ClaimRecord.EngineClaim(ENGINE, supersedes);
        return t.apply(offset, new ClaimRecord.Claim(node, incarnation, List.of(e)), 0)
                .changes()
                .get(0)
                .won();
    }

    private static void apply(ClaimTable t, long offset, ClaimRecord r) {
        t.apply(offset, r, 0);
    }

    private static ClaimRecord.Renewal renewal(String node, long incarnation) {
        NodeInfo info = new NodeInfo(node, incarnation, "h", new DataCentre("r1", "a"), "c", "p");
        return new ClaimRecord.Renewal(info, 1, 1000, false, true);
    }
}
