package org.quetzalvane.core.residency;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.quetzalvane.core.routes.AdapterRef;
import org.quetzalvane.core.time.ManualScheduler;

import static org.assertj.core.api.Assertions.assertThat;

/** In which order adapters that are waited for get the places that fall free. */
class LoadQueueTest {
    private static final int RANKS = 3;
    private static final long DUE_MS = 600;
    private static final long WAIT_MS = 960;

    private final ManualScheduler clock = new ManualScheduler();
    private final LoadQueue queue = new LoadQueue(clock);
    private final List<String> refused = new ArrayList<>();

    private static AdapterRef adapter(int n) {
        return new AdapterRef("m", "a" + n);
    }

    private void add(int n, int rank, long dueMs) {
        queue.add(new LoadRequest(adapter(n), 0, rank, dueMs, WAIT_MS), ok -> refused.add("a" + n + "=" + ok));
    }

    private void pass(long ms) {
        clock.advance(Duration.ofMillis(ms));
        queue.expire();
    }

    @Test
    void urgentGoesFirstAndAmongEqualsTheOneDueFirst() {
        add(1, 2, 300);
        add(2, 0, 500);
        add(3, 0, 400);
        assertThat(queue.inOrder()).containsExactly(adapter(3), adapter(2), adapter(1));
    }

    @Test
    void requestThatIsLateAnywayLetsThoseGoFirstThatAreNot() {
        add(1, 0, 100);
        add(2, 2, 800);
        pass(150);
        assertThat(queue.inOrder()).containsExactly(adapter(2), adapter(1));
    }

    @Test
    void adapterStandsWhereItsForemostRequestStands() {
        add(1, 2, 500);
        add(2, 1, 500);
        add(1, 0, 500);
        assertThat(queue.inOrder()).containsExactly(adapter(1), adapter(2));
    }

    @Test
    void lastInOrderIsRefusedAtOnceWhenTooManyWait() {
        for (int i = 0; i < LoadQueue.MAX_WAITING; i++) {
            add(i, 2, 100L * (i + 1));
        }
        add(9, 0, 900);
        assertThat(refused).containsExactly("a3=false");
        add(8, 2, 2_000);
        assertThat(refused).containsExactly("a3=false", "a8=false");
    }

    @Test
    void eachRequestIsToldWhenItsOwnTimeIsOver() {
        add(1, 0, DUE_MS);
        pass(WAIT_MS / 2);
        add(1, 0, DUE_MS);
        pass(WAIT_MS / 2);
        assertThat(refused).containsExactly("a1=false");
        pass(WAIT_MS / 2);
        assertThat(refused).containsExactly("a1=false", "a1=false");
        assertThat(queue.isEmpty()).isTrue();
    }

    /** Ten rare adapters a second, three places a second: the urgent third gets nearly all of the places in time. */
    @Test
    void underThreeTimesTheLoadTheUrgentRankIsServedInTime() {
        int[] onTime = new int[RANKS];
        int[] asked = new int[RANKS];
        for (int i = 0; i < 300; i++) {
            int rank = i % RANKS;
            asked[rank]++;
            long due = clock.nanoTime() + DUE_MS * 1_000_000;
            queue.add(new LoadRequest(adapter(i), 0, rank, DUE_MS, WAIT_MS), ok -> {
                if (ok && clock.nanoTime() <= due) {
                    onTime[rank]++;
                }
            });
            pass(100);
            if (i % RANKS == 0 && !queue.isEmpty()) {
                queue.finish(queue.inOrder().get(0), true);
            }
        }
        assertThat(onTime[0]).isGreaterThanOrEqualTo(asked[0] * 9 / 10);
        assertThat(onTime[0] + onTime[1] + onTime[2]).isGreaterThanOrEqualTo(300 / RANKS * 95 / 100);
    }
}
