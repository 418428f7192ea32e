package org.quetzalvane.core.team;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Directories on hundreds of hosts of unlike size, of which a response may name 64. */
class EntryHostSelectorTest {

    private static List<NodeInfo> hosts(int count) {
        List<NodeInfo> nodes = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String address = "10.0.0." + i + ":1";
            nodes.add(new NodeInfo(address, address, "a", i % 2 == 0 ? 40 : 160, false, true, false));
        }
        return nodes;
    }

    @ParameterizedTest
    @CsvSource({"1, 1", "9, 9", "64, 64", "95, 64", "300, 64"})
    void responseNamesAllHostsOrAsManyAsCallersAccept(int count, int named) {
        assertThat(EntryHostSelector.select(hosts(count), "d")).hasSize(named);
    }

    @Test
    void hostsThatAreLeavingOrNotReadyAreNotNamed() {
        NodeInfo leaving = new NodeInfo("l", "l", "a", 100, false, true, true);
        NodeInfo starting = new NodeInfo("s", "s", "a", 100, false, false, false);
        assertThat(EntryHostSelector.select(List.of(leaving, starting), "d")).isEmpty();
    }

    @Test
    void hostThatGoesChangesOneAddressAndNotTheOthers() {
        List<NodeInfo> before = EntryHostSelector.select(hosts(95), "d");
        List<NodeInfo> left = hosts(95);
        left.remove(before.get(0));
        assertThat(EntryHostSelector.select(left, "d")).containsAll(before.subList(1, before.size()));
    }

    @Test
    void everyHostIsNamedByADirectoryAndLargeHostsByMore() {
        Map<Integer, Integer> timesByCapacity = new HashMap<>();
        Map<String, Integer> timesByHost = new HashMap<>();
        List<NodeInfo> all = hosts(95);
        for (NodeInfo directory : all) {
            for (NodeInfo n : EntryHostSelector.select(all, directory.address())) {
                timesByHost.merge(n.address(), 1, Integer::sum);
                timesByCapacity.merge(n.capacity(), 1, Integer::sum);
            }
        }
        assertThat(timesByHost).hasSize(95);
        assertThat(timesByCapacity.get(160)).isGreaterThan(timesByCapacity.get(40));
    }
}
