package org.quetzalvane.core.residency;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.quetzalvane.core.routes.AdapterRef;
import org.quetzalvane.core.time.ManualScheduler;

import static org.assertj.core.api.Assertions.assertThat;

/** Order in which waiting adapters get the slots that become free. */
class LoadQueueTest {
    private static final int RANKS = 3;
    private static final long DUE_MS = 600;
    private static final long WAIT_MS = 960;

    private final ManualScheduler clock = new ManualScheduler();
    private final LoadQueue queue = new LoadQueue(clock);
    private final List<String> outcomes = new ArrayList<>();

    private static AdapterRef adapter(int n) {
        return new AdapterRef("m", "a" + n);
    }

    private void add(int n, int rank, long dueMs) {
        queue.add(new LoadRequest(adapter(n), 0, rank, dueMs, WAIT_MS), ok -> outcomes.add("a" + n + "=" + ok));
    }

    private void advance(long ms) {
        clock.advance(Duration.ofMillis(ms));
        queue.expire();
    }

    @Test
    void higherPriorityGoesFirstAndThenTheEarlierDueTime() {
        add(1, 2, 300);
        add(2, 0, 500);
        add(3, 0, 400);
        assertThat(queue.adaptersByUrgency()).containsExactly(adapter(3), adapter(2), adapter(1));
    }

    @Test
    void requestPastItsDueTimeGoesAfterThoseBeforeTheirs() {
        add(1, 0, 100);
        add(2, 2, 800);
        advance(150);
        assertThat(queue.adaptersByUrgency()).containsExactly(adapter(2), adapter(1));
    }

    @Test
    void adapterTakesThePositionOfItsMostUrgentRequest() {
        add(1, 2, 500);
        add(2, 1, 500);
        add(1, 0, 500);
        assertThat(queue.adaptersByUrgency()).containsExactly(adapter(1), adapter(2));
    }

    @Test
    void leastUrgentAdapterIsRefusedAtOnceWhenTooManyWait() {
        for (int i = 0; i < LoadQueue.MAX_WAITING; i++) {
            add(i, 2, 100L * (i + 1));
        }
        add(9, 0, 900);
        assertThat(outcomes).containsExactly("a3=false");
        add(8, 2, 2_000);
        assertThat(outcomes).containsExactly("a3=false", "a8=false");
    }

    @Test
    void eachRequestIsRefusedWhenItsOwnWaitExpires() {
        add(1, 0, DUE_MS);
        advance(WAIT_MS / 2);
        add(1, 0, DUE_MS);
        advance(WAIT_MS / 2);
        assertThat(outcomes).containsExactly("a1=false");
        advance(WAIT_MS / 2);
        assertThat(outcomes).containsExactly("a1=false", "a1=false");
        assertThat(queue.isEmpty()).isTrue();
    }

    /**
     * Ten load requests and about three free adapter slots per second: nearly all requests of the highest priority, a
     * third of all, are served before their due time.
     */
    @Test
    void highestPriorityIsServedOnTimeAtThreeTimesTheCapacity() {
        int[] onTime = new int[RANKS];
        int[] requested = new int[RANKS];
        for (int i = 0; i < 300; i++) {
            int rank = i % RANKS;
            requested[rank]++;
            long dueNanos = clock.nanoTime() + DUE_MS * 1_000_000;
            queue.add(new LoadRequest(adapter(i), 0, rank, DUE_MS, WAIT_MS), ok -> {
                if (ok && clock.nanoTime() <= dueNanos) {
                    onTime[rank]++;
                }
            });
            advance(100);
            if (i % RANKS == 0 && !queue.isEmpty()) {
                queue.complete(queue.adaptersByUrgency().get(0), true);
            }
        }
        assertThat(onTime[0]).isGreaterThanOrEqualTo(requested[0] * 9 / 10);
        assertThat(onTime[0] + onTime[1] + onTime[2]).isGreaterThanOrEqualTo(300 / RANKS * 95 / 100);
    }
}
