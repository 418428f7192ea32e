package org.quetzalvane.core.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.BiConsumer;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.cluster.NodeContext;
import org.quetzalvane.core.cluster.NodeInfo;
import org.quetzalvane.core.event.EventLog;
import org.quetzalvane.core.event.HybridClock;
import org.quetzalvane.core.model.AdapterVersion;
import org.quetzalvane.core.model.DataCentre;
import org.quetzalvane.core.request.InferenceRequest;
import org.quetzalvane.core.request.Refusal;
import org.quetzalvane.core.request.ResponseSink;
import org.quetzalvane.core.time.ManualScheduler;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests which requests are retried, how often, and at which engines. */
class RequestRetrierTest {
    private static final Duration DEADLINE = Duration.ofSeconds(10);
    private static final int FILL_REQUESTS = 100;
    private static final long SEED = 20261203;

    private final ManualScheduler time = new ManualScheduler();
    private final List<Set<String>> avoided = new ArrayList<>();
    private final List<String> ids = new ArrayList<>();
    private final List<String> responses = new ArrayList<>();
    private BiConsumer<String, ResponseSink> engineBehaviour = (engine, sink) -> sink.completed(1);
    private final RequestRetrier retrier = new RequestRetrier(context(), this::submit);

    @Test
    void failedRequestIsRetriedOnAnotherEngineUnderAnotherId() {
        fillRetryBudget();
        engineBehaviour = (engine, sink) -> {
            if ("e0".equals(engine)) {
                sink.failed(ResultCode.OUTCOME_UNKNOWN, "cut");
            } else {
                sink.completed(1);
            }
        };
        retrier.submit(request(true), new RecordingSink(true));
        assertThat(responses).containsExactly("done");
        assertThat(avoided).containsExactly(Set.of(), Set.of("e0"));
        assertThat(ids).doesNotHaveDuplicates();
    }

    @Test
    void nonIdempotentRequestIsSubmittedOnce() {
        fillRetryBudget();
        engineBehaviour = (engine, sink) -> sink.failed(ResultCode.OUTCOME_UNKNOWN, "cut");
        retrier.submit(request(false), new RecordingSink(true));
        assertThat(avoided).hasSize(1);
        assertThat(responses).containsExactly("OUTCOME_UNKNOWN");
    }

    @Test
    void noRetryAfterAChunkThatCannotBeWithdrawn() {
        fillRetryBudget();
        engineBehaviour = (engine, sink) -> {
            sink.part("x");
            sink.failed(ResultCode.STREAM_BROKEN, "cut");
        };
        retrier.submit(request(true), new RecordingSink(false));
        assertThat(avoided).hasSize(1);
        assertThat(responses).containsExactly("part", "STREAM_BROKEN");
    }

    @Test
    void noRetryAfterTheDeadlineOrAfterADisconnect() {
        fillRetryBudget();
        List<ResponseSink> waiting = new ArrayList<>();
        engineBehaviour = (engine, sink) -> waiting.add(sink);
        retrier.submit(request(true), new RecordingSink(true));
        Runnable cancel = retrier.submit(request(true), new RecordingSink(true));
        cancel.run();
        waiting.get(1).failed(ResultCode.OUTCOME_UNKNOWN, "cut");
        time.advance(DEADLINE);
        waiting.get(0).failed(ResultCode.PROGRESS_TIMEOUT, "silent");
        assertThat(avoided).hasSize(2);
        assertThat(responses).containsExactly("OUTCOME_UNKNOWN", "PROGRESS_TIMEOUT");
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3})
    void retriesAreBetweenFiveAndTenPercentOfRequests(int failingThirds) {
        int requests = 3000;
        Random random = new Random(SEED);
        engineBehaviour = (engine, sink) -> {
            if (random.nextInt(3) < failingThirds) {
                sink.failed(ResultCode.OUTCOME_UNKNOWN, "cut");
            } else {
                sink.completed(1);
            }
        };
        for (int i = 0; i < requests; i++) {
            retrier.submit(request(true), new RecordingSink(true));
        }
        assertThat(responses).hasSize(requests);
        assertThat(avoided.size() - requests).isBetween(requests / 20, requests / 10);
    }

    private RequestRetrier.SubmissionHandle submit(InferenceRequest request, Set<String> avoid, ResponseSink sink) {
        ids.add(request.id());
        avoided.add(avoid);
        String engine = "e" + avoid.size();
        engineBehaviour.accept(engine, sink);
        return new RequestRetrier.SubmissionHandle(engine, () -> {});
    }

    private void fillRetryBudget() {
        for (int i = 0; i < FILL_REQUESTS; i++) {
            retrier.submit(request(true), new RecordingSink(true));
        }
        responses.clear();
        ids.clear();
        avoided.clear();
    }

    private InferenceRequest request(boolean idempotent) {
        long now = time.nanoTime();
        AdapterVersion v = new AdapterVersion("a1", 1);
        return new InferenceRequest("q", "angler", v, "p", 8, 0, now, now + DEADLINE.toNanos(), idempotent);
    }

    private NodeContext context() {
        NodeInfo self = new NodeInfo("n1", 1, "h", new DataCentre("r", "a"), "", "");
        return new NodeContext(self, time, new EventLog("n1", new HybridClock(time), FILL_REQUESTS, e -> {}));
    }

    /** Records the response of the caller; whether chunks can be withdrawn is set by the test. */
    private final class RecordingSink implements ResponseSink {
        private final boolean resettable;

        RecordingSink(boolean restartable) {
            this.resettable = restartable;
        }

        @Override
        public void part(String text) {
            responses.add("part");
        }

        @Override
        public void completed(int tokens) {
            responses.add("done");
        }

        @Override
        public void refused(Refusal refusal) {
            responses.add(refusal.code().name());
        }

        @Override
        public void failed(ResultCode code, String message) {
            responses.add(code.name());
        }

        @Override
        public boolean tryReset() {
            return resettable;
        }
    }
}
