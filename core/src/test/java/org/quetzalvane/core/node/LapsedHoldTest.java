package org.quetzalvane.core.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalvane.core.model.AdapterVersion;
import org.quetzalvane.core.request.InferenceRequest;
import org.quetzalvane.core.time.ManualScheduler;

import static org.assertj.core.api.Assertions.assertThat;

/** What becomes of a request that comes to a thawed node whose lease has lapsed. */
class LapsedHoldTest {
    private static final Duration POLL = Duration.ofMillis(100);

    private final ManualScheduler time = new ManualScheduler();
    private final LapsedHold hold = new LapsedHold(time, POLL);
    private final List<String> heard = new ArrayList<>();
    private boolean known;

    private Runnable take() {
        heard.add("taken");
        return () -> heard.add("cancelled");
    }

    private InferenceRequest request(Duration deadline) {
        long now = time.nanoTime();
        AdapterVersion v = new AdapterVersion("a1", 1);
        return new InferenceRequest("q", "angler", v, "p", 8, 0, now, now + deadline.toNanos(), true);
    }

    @Test
    void requestWaitsUntilTheOwnerIsKnown() {
        hold.hold(request(Duration.ofSeconds(10)), () -> known, this::take);
        time.advance(POLL.multipliedBy(3));
        assertThat(heard).isEmpty();
        known = true;
        time.advance(POLL);
        assertThat(heard).containsExactly("taken");
    }

    @ParameterizedTest
    @ValueSource(longs = {500, 10_000})
    void requestIsHeldNoLongerThanItsDeadlineAndTheLimit(long deadlineMillis) {
        hold.hold(request(Duration.ofMillis(deadlineMillis)), () -> known, this::take);
        long limit = Math.min(deadlineMillis, LapsedHold.LIMIT.toMillis());
        time.advance(Duration.ofMillis(limit).minus(POLL));
        assertThat(heard).isEmpty();
        time.advance(POLL);
        assertThat(heard).containsExactly("taken");
    }

    @Test
    void requestCancelledWhileHeldIsNeverTaken() {
        Runnable cancel = hold.hold(request(Duration.ofSeconds(10)), () -> known, this::take);
        cancel.run();
        known = true;
        time.advance(POLL.multipliedBy(2));
        assertThat(heard).isEmpty();
    }

    @Test
    void cancellationReachesARequestTakenUp() {
        known = true;
        hold.hold(request(Duration.ofSeconds(10)), () -> known, this::take).run();
        assertThat(heard).containsExactly("taken", "cancelled");
    }
}
