package org.quetzalvane.core.ownership;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.quetzalvane.core.cluster.NodeInfo;
import org.quetzalvane.core.model.DataCentre;

import static org.assertj.core.api.Assertions.assertThat;

/** Application of ownership records. */
class OwnershipTableTest {
    private static final String ENGINE = "e1";

    private final OwnershipTable table = new OwnershipTable();

    @Test
    void claimWithOutdatedSupersedesFails() {
        apply(table, 0, renewal("n1", 1));
        apply(table, 1, renewal("n2", 1));
        assertThat(claim(table, 2, "n1", OwnershipTable.UNOWNED)).isTrue();
        apply(table, 3, renewal("n1", 1));
        assertThat(claim(table, 4, "n2", 2)).as("the owner renewed").isFalse();
        assertThat(claim(table, 5, "n2", 3)).isTrue();
        assertThat(claim(table, 6, "n1", 3)).as("another claim won").isFalse();
    }

    @Test
    void renewalOfOlderIncarnationHasNoEffect() {
        apply(table, 0, renewal("n1", 2));
        assertThat(table.apply(1, renewal("n1", 1), 0).renewed()).isFalse();
        assertThat(claim(table, 2, "n1", 1, OwnershipTable.UNOWNED)).isFalse();
    }

    @Test
    void lateTableIsIncompleteUntilSnapshotAndThenEqual() {
        apply(table, 0, renewal("n1", 1));
        assertThat(claim(table, 1, "n1", OwnershipTable.UNOWNED)).isTrue();
        OwnershipTable late = new OwnershipTable();
        OwnershipRecord.Snapshot snapshot = table.snapshot().orElseThrow();
        applyToBoth(late, 2, renewal("n2", 1));
        applyToBoth(late, 3, renewal("n1", 1));
        assertThat(late.complete()).isFalse();
        assertThat(late.owner(ENGINE)).isEmpty();
        applyToBoth(late, 4, snapshot);
        assertThat(late.complete()).isTrue();
        assertThat(late.owner(ENGINE)).isEqualTo(table.owner(ENGINE)).isPresent();
        assertThat(late.supersedes(ENGINE)).isEqualTo(table.supersedes(ENGINE)).isEqualTo(3);
    }

    @Test
    void resetIsRejectedWhenCompleteNodeRenewedAfterWriterRead() {
        apply(table, 0, renewal("n1", 1));
        assertThat(claim(table, 1, "n1", OwnershipTable.UNOWNED)).isTrue();
        apply(table, 2, renewal("n1", 1));
        apply(table, 3, new OwnershipRecord.Reset(2, -1));
        assertThat(table.owner(ENGINE)).isPresent();
        apply(table, 4, new OwnershipRecord.Reset(2, 2));
        assertThat(table.owner(ENGINE)).isEmpty();
    }

    private void applyToBoth(OwnershipTable late, long offset, OwnershipRecord r) {
        apply(table, offset, r);
        apply(late, offset, r);
    }

    private static boolean claim(OwnershipTable t, long offset, String node, long supersedes) {
        return claim(t, offset, node, 1, supersedes);
    }

    private static boolean claim(OwnershipTable t, long offset, String node, long incarnation, long supersedes) {
        OwnershipRecord.EngineClaim e = new OwnershipRecord.EngineClaim(ENGINE, supersedes);
        return t.apply(offset, new OwnershipRecord.Claim(node, incarnation, List.of(e)), 0)
                .changes()
                .get(0)
                .acquired();
    }

    private static void apply(OwnershipTable t, long offset, OwnershipRecord r) {
        t.apply(offset, r, 0);
    }

    private static OwnershipRecord.Renewal renewal(String node, long incarnation) {
        NodeInfo info = new NodeInfo(node, incarnation, "h", new DataCentre("r1", "a"), "c", "p");
        return new OwnershipRecord.Renewal(info, 1, 1000, false, true);
    }
}
