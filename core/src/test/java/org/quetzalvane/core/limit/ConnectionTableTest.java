package org.quetzalvane.core.limit;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalvane.core.limit.ConnectionTable.Entry;

import static org.assertj.core.api.Assertions.assertThat;

class ConnectionTableTest {
    private static final int CAPACITY = 4;

    private final ConnectionTable table = new ConnectionTable(CAPACITY);
    private final List<String> closed = new ArrayList<>();

    @Test
    void connectionWithoutARequestWhoseBytesAreOldestMakesRoom() {
        Entry a = add("a");
        Entry b = add("b");
        add("c");
        add("d");
        a.bytesArrived();
        b.bytesArrived();
        add("e");
        add("f");
        add("g");
        assertThat(closed).containsExactly("c", "d", "a");
        assertThat(table.open()).isEqualTo(CAPACITY);
        assertThat(table.displaced()).isEqualTo(3);
    }

    /** Callers that keep their connections are not displaced by clients that only connect. */
    @Test
    void idleConnectionsMakeRoomLast() {
        Entry ordinary = add("ordinary");
        ordinary.requestArrived();
        ordinary.requestsDone();
        for (int i = 0; i < 100; i++) {
            add("crowd-" + i).bytesArrived();
        }
        assertThat(closed).hasSize(100 - CAPACITY + 1).doesNotContain("ordinary");
        ordinary.remove();
        Entry first = add("first");
        first.requestArrived();
        first.requestsDone();
        assertThat(table.open()).isEqualTo(CAPACITY);
    }

    @Test
    void connectionsWithRequestsInProgressKeepTheirPlaces() {
        List<Entry> busy = new ArrayList<>();
        for (int i = 0; i < CAPACITY; i++) {
            Entry e = add("busy-" + i);
            e.requestArrived();
            busy.add(e);
        }
        assertThat(table.add(() -> closed.add("new"))).isNull();
        assertThat(table.refused()).isEqualTo(1);
        assertThat(closed).isEmpty();
        busy.get(2).requestsDone();
        add("new");
        assertThat(closed).containsExactly("busy-2");
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void endedConnectionFreesItsPlaceOnce(boolean displaced) {
        Entry a = add("a");
        if (displaced) {
            for (int i = 0; i < CAPACITY; i++) {
                add("b" + i);
            }
        }
        int open = table.open();
        a.remove();
        a.remove();
        a.bytesArrived();
        a.requestsDone();
        assertThat(table.open()).isEqualTo(displaced ? open : open - 1);
    }

    private Entry add(String name) {
        return table.add(() -> closed.add(name));
    }
}
