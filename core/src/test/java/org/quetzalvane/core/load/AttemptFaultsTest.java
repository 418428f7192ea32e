package org.quetzalvane.core.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.stream.Stream;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.event.EventLog;
import org.quetzalvane.core.event.HybridClock;
import org.quetzalvane.core.exc.EndpointException;
import org.quetzalvane.core.model.AdapterVersion;
import org.quetzalvane.core.model.DataCentre;
import org.quetzalvane.core.model.Engine;
import org.quetzalvane.core.port.AttemptListener;
import org.quetzalvane.core.port.AttemptRequest;
import org.quetzalvane.core.port.EnginePort;
import org.quetzalvane.core.port.EngineReport;
import org.quetzalvane.core.request.InferenceRequest;
import org.quetzalvane.core.request.PendingRequest;
import org.quetzalvane.core.request.Refusal;
import org.quetzalvane.core.request.ResponseSink;
import org.quetzalvane.core.time.ManualScheduler;

import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.params.provider.Arguments.arguments;

/** Final response of a request whose engine sends a faulty response: it never contradicts what may have been run. */
class AttemptFaultsTest {
    private static final AdapterVersion V1 = new AdapterVersion("a1", 1);
    private static final AdapterVersion V2 = new AdapterVersion("a1", 2);
    private static final Duration DEADLINE = Duration.ofSeconds(30);
    private static final int MAX_SCRIPTED_ATTEMPTS = 500;

    private final ManualScheduler time = new ManualScheduler();
    private final FakePort port = new FakePort();
    private final RecordingSink sink = new RecordingSink();
    private EngineDispatcher dispatcher;

    @BeforeEach
    void start() {
        LoadBudget unlimited = new LoadBudget() {
            @Override
            public boolean tryAcquire(double value) {
                return true;
            }

            @Override
            public void release() {}
        };
        EventLog events = new EventLog("n1", new HybridClock(time), MAX_SCRIPTED_ATTEMPTS, e -> {});
        DispatchContext context =
                new DispatchContext(port, unlimited, v -> Optional.of("w"), time, events, DispatchListener.none());
        Engine engine = new Engine("e1", "", "h", new DataCentre("r", "a"), "base", 2, 8, false);
        dispatcher = new EngineDispatcher(new OwnedEngine(engine, 1, () -> true), context, DispatchConfig.defaults());
        dispatcher.start();
        time.advance(Duration.ofMillis(100));
    }

    @ParameterizedTest
    @MethodSource("faultyResponses")
    void faultyResponseEndsAsFailedNotAsCompletedOrRefused(
            String name, Consumer<Attempt> engine, ResultCode code, String text) {
        submit(true);
        engine.accept(port.only());
        port.only().listener.part(9, "late");
        port.only().listener.end(9);
        assertThat(sink.finals).containsExactly("failed " + code);
        assertThat(sink.text).hasToString(text);
        assertThat(dispatcher.requestCount()).isZero();
    }

    static Stream<Arguments> faultyResponses() {
        EndpointException broken = new EndpointException(ResultCode.STREAM_BROKEN, "broken", false);
        EndpointException lost = new EndpointException(ResultCode.OUTCOME_UNKNOWN, "reset", false);
        EndpointException rejected = new EndpointException(ResultCode.ENDPOINT_REJECTED, "not run", true);
        return Stream.of(
                row("echo of another version", a -> a.start(V2).part(0, "x"), ResultCode.WRONG_ECHO, ""),
                row("echo of another attempt", a -> a.listener.started("other", V1), ResultCode.WRONG_ECHO, ""),
                row("chunk before the echo", a -> a.part(0, "x"), ResultCode.WRONG_ECHO, ""),
                row("end before the echo", a -> a.listener.end(0), ResultCode.WRONG_ECHO, ""),
                row("chunk missing", a -> a.start(V1).part(0, "x").part(2, "z"), ResultCode.WRONG_ECHO, "x"),
                row("chunk repeated", a -> a.start(V1).part(0, "x").part(0, "x"), ResultCode.WRONG_ECHO, "x"),
                row("second echo", a -> a.start(V1).part(0, "x").start(V2), ResultCode.WRONG_ECHO, "x"),
                row("truncated", a -> a.start(V1).part(0, "x").fail(broken), ResultCode.STREAM_BROKEN, "x"),
                row("connection lost after the request was sent", a -> a.fail(lost), ResultCode.OUTCOME_UNKNOWN, ""),
                row(
                        "rejected after a chunk",
                        a -> a.start(V1).part(0, "x").fail(rejected),
                        ResultCode.STREAM_BROKEN,
                        "x"),
                row("rejected after the echo", a -> a.start(V1).fail(rejected), ResultCode.OUTCOME_UNKNOWN, ""));
    }

    @Test
    void silentEngineIsCancelledAndItsLateResponseDropped() {
        submit(true);
        Attempt silent = port.only().start(V1).part(0, "x");
        time.advance(Duration.ofSeconds(6));
        assertThat(sink.finals).containsExactly("failed PROGRESS_TIMEOUT");
        assertThat(silent.cancelled).isTrue();
        silent.part(1, "y").listener.end(2);
        assertThat(sink.text).hasToString("x");
        assertThat(sink.finals).hasSize(1);
    }

    @Test
    void disconnectInQueuePreventsTheRunAndDisconnectInStreamCancelsAtTheEngine() {
        port.loads = new CompletableFuture<>();
        PendingRequest queued = submit(true);
        dispatcher.cancel(queued);
        assertThat(sink.finals).containsExactly("refused CANCELLED_IN_QUEUE");
        port.loads.complete(null);
        time.advance(Duration.ofSeconds(1));
        assertThat(port.attempts).isEmpty();

        PendingRequest running = submit(true);
        port.only().start(V1).part(0, "x");
        dispatcher.cancel(running);
        assertThat(port.only().cancelled).isTrue();
        assertThat(sink.finals).containsExactly("refused CANCELLED_IN_QUEUE", "failed CALLER_GONE");
    }

    @Test
    void requestRejectedAsNotResidentIsDispatchedAgainAfterAReload() {
        submit(true);
        port.only().fail(new EndpointException(ResultCode.ENDPOINT_REJECTED, "not resident", true));
        time.advance(Duration.ofSeconds(3));
        Attempt second = port.attempts.get(1);
        assertThat(second.request.attemptId())
                .isNotEqualTo(port.attempts.get(0).request.attemptId());
        port.attempts.get(0).start(V1).part(0, "crossed");
        second.start(V1).part(0, "x").listener.end(1);
        assertThat(sink.finals).containsExactly("done 1");
        assertThat(sink.text).hasToString("x");
    }

    @Test
    void nonIdempotentRequestIsDispatchedOnce() {
        submit(false);
        port.only().fail(new EndpointException(ResultCode.ENDPOINT_REJECTED, "not resident", true));
        time.advance(Duration.ofSeconds(5));
        assertThat(port.attempts).hasSize(1);
        assertThat(sink.finals).containsExactly("refused ENDPOINT_REJECTED");
    }

    @Test
    void attemptsAtAnUnreachableEngineAreBounded() {
        port.onRun = a -> a.fail(new EndpointException(ResultCode.ENDPOINT_UNREACHABLE, "refused", true));
        submit(true);
        time.advance(Duration.ofSeconds(1));
        assertThat(port.attempts).hasSizeLessThanOrEqualTo(4);
        assertThat(sink.finals).containsExactly("refused ENDPOINT_REJECTED");
    }

    private PendingRequest submit(boolean idempotent) {
        long now = time.nanoTime();
        PendingRequest t = new PendingRequest(
                new InferenceRequest("q", "angler", V1, "p", 8, 0, now, now + DEADLINE.toNanos(), idempotent), sink);
        dispatcher.submit(t);
        time.advance(Duration.ofMillis(100));
        return t;
    }

    private static Arguments row(String name, Consumer<Attempt> engine, ResultCode code, String text) {
        return arguments(name, engine, code, text);
    }

    /** Records the response that the caller gets. */
    private static final class RecordingSink implements ResponseSink {
        private final StringBuilder text = new StringBuilder();
        private final List<String> finals = new ArrayList<>();

        @Override
        public void part(String part) {
            text.append(part);
        }

        @Override
        public void completed(int tokens) {
            finals.add("done " + tokens);
        }

        @Override
        public void refused(Refusal refusal) {
            finals.add("refused " + refusal.code());
        }

        @Override
        public void failed(ResultCode code, String message) {
            finals.add("failed " + code);
        }
    }

    /** One attempt as the engine receives it. */
    private static final class Attempt {
        private final AttemptRequest request;
        private final AttemptListener listener;
        private boolean cancelled;

        Attempt(AttemptRequest request, AttemptListener listener) {
            this.request = request;
            this.listener = listener;
        }

        Attempt start(AdapterVersion version) {
            listener.started(request.attemptId(), version);
            return this;
        }

        Attempt part(int index, String text) {
            listener.part(index, text);
            return this;
        }

        Attempt fail(EndpointException failure) {
            listener.failed(failure);
            return this;
        }
    }

    /** Fake engine scripted by the test. */
    private static final class FakePort implements EnginePort {
        private final List<Attempt> attempts = new ArrayList<>();
        private CompletableFuture<Void> loads = CompletableFuture.completedFuture(null);
        private Consumer<Attempt> onRun = a -> {};

        Attempt only() {
            assertThat(attempts).hasSize(1);
            return attempts.get(0);
        }

        @Override
        public CompletableFuture<Void> load(Engine engine, AdapterVersion version, String weights, long fencingToken) {
            return loads;
        }

        @Override
        public CompletableFuture<Void> unload(Engine engine, AdapterVersion version, long fencingToken) {
            return CompletableFuture.completedFuture(null);
        }

        @Override
        public CompletableFuture<Void> fence(Engine engine, long fencingToken) {
            return CompletableFuture.completedFuture(null);
        }

        @Override
        public CompletableFuture<EngineReport> report(Engine engine) {
            return attempts.isEmpty()
                    ? CompletableFuture.completedFuture(new EngineReport("i", 0, List.of()))
                    : new CompletableFuture<>();
        }

        @Override
        public Cancellation run(Engine engine, AttemptRequest request, AttemptListener listener) {
            Attempt a = new Attempt(request, listener);
            attempts.add(a);
            if (attempts.size() < MAX_SCRIPTED_ATTEMPTS) {
                onRun.accept(a);
            }
            return () -> a.cancelled = true;
        }
    }
}
