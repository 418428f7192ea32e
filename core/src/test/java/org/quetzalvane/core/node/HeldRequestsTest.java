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

/** Requests that arrive after a pause of the process, while the lease is expired. */
class HeldRequestsTest {
    private static final Duration POLL = Duration.ofMillis(100);

    private final ManualScheduler time = new ManualScheduler();
    private final HeldRequests heldRequests = new HeldRequests(time, POLL);
    private final List<String> submissions = new ArrayList<>();
    private boolean mayProceed;

    private Runnable submit() {
        submissions.add("submitted");
        return () -> submissions.add("cancelled");
    }

    private InferenceRequest request(Duration deadline) {
        long now = time.nanoTime();
        AdapterVersion v = new AdapterVersion("a1", 1);
        return new InferenceRequest("q", "angler", v, "p", 8, 0, now, now + deadline.toNanos(), true);
    }

    @Test
    void requestIsHeldUntilItMayProceed() {
        heldRequests.hold(request(Duration.ofSeconds(10)), () -> mayProceed, this::submit);
        time.advance(POLL.multipliedBy(3));
        assertThat(submissions).isEmpty();
        mayProceed = true;
        time.advance(POLL);
        assertThat(submissions).containsExactly("submitted");
    }

    @ParameterizedTest
    @ValueSource(longs = {500, 10_000})
    void requestIsHeldUntilItsDeadlineOrTheLimitAtMost(long deadlineMillis) {
        heldRequests.hold(request(Duration.ofMillis(deadlineMillis)), () -> mayProceed, this::submit);
        long limit = Math.min(deadlineMillis, HeldRequests.MAX_HOLD.toMillis());
        time.advance(Duration.ofMillis(limit).minus(POLL));
        assertThat(submissions).isEmpty();
        time.advance(POLL);
        assertThat(submissions).containsExactly("submitted");
    }

    @Test
    void requestCancelledWhileHeldIsNeverSubmitted() {
        Runnable cancel = heldRequests.hold(request(Duration.ofSeconds(10)), () -> mayProceed, this::submit);
        cancel.run();
        mayProceed = true;
        time.advance(POLL.multipliedBy(2));
        assertThat(submissions).isEmpty();
    }

    @Test
    void cancelAfterSubmissionCancelsTheRequest() {
        mayProceed = true;
        heldRequests
                .hold(request(Duration.ofSeconds(10)), () -> mayProceed, this::submit)
                .run();
        assertThat(submissions).containsExactly("submitted", "cancelled");
    }
}
