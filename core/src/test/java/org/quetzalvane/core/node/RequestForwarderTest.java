package org.quetzalvane.core.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.cluster.NodeContext;
import org.quetzalvane.core.cluster.NodeInfo;
import org.quetzalvane.core.event.EventLog;
import org.quetzalvane.core.event.HybridClock;
import org.quetzalvane.core.exc.QuetzalvaneException;
import org.quetzalvane.core.model.AdapterVersion;
import org.quetzalvane.core.model.DataCentre;
import org.quetzalvane.core.peer.PeerMessage;
import org.quetzalvane.core.peer.PeerPort;
import org.quetzalvane.core.peer.PeerRouter;
import org.quetzalvane.core.request.InferenceRequest;
import org.quetzalvane.core.request.Refusal;
import org.quetzalvane.core.request.ResponseSink;
import org.quetzalvane.core.time.ManualScheduler;

import static org.assertj.core.api.Assertions.assertThat;

/** Forwarding between two nodes when the connection breaks or messages arrive out of order. */
class RequestForwarderTest {
    private static final NodeInfo OWNER = new NodeInfo("n2", 1, "h", new DataCentre("r", "a"), "n2:1", "n2:2");
    private static final InferenceRequest REQUEST =
            new InferenceRequest("q", "angler", new AdapterVersion("a1", 1), "p", 8, 0, 0, 10_000_000_000L, true);

    private final ManualScheduler time = new ManualScheduler();
    private final List<PeerMessage> sent = new ArrayList<>();
    private final CompletableFuture<PeerMessage> endReply = new CompletableFuture<>();
    private final List<String> responses = new ArrayList<>();
    private final PeerRouter router = new PeerRouter();
    private Consumer<PeerMessage> chunkConsumer;
    private boolean connected = true;
    private int cancellations;
    private final RequestForwarder forwarder = forwarder();

    @ParameterizedTest
    @CsvSource({
        "PEER_UNAVAILABLE, false, refused NOT_OWNER",
        "PEER_UNAVAILABLE, true, failed OUTCOME_UNKNOWN",
        "OUTCOME_UNKNOWN, false, failed OUTCOME_UNKNOWN",
        "OUTCOME_UNKNOWN, true, failed OUTCOME_UNKNOWN",
    })
    void brokenConnectionIsReportedAsNotRunOnlyIfNothingWasSent(
            ResultCode failure, boolean afterChunk, String expected) {
        forwarder.forward(REQUEST, OWNER, Set.of(), new RecordingSink());
        if (afterChunk) {
            chunkConsumer.accept(new PeerMessage.ForwardPart("x"));
        }
        endReply.completeExceptionally(new QuetzalvaneException(failure, "broken"));
        chunkConsumer.accept(new PeerMessage.ForwardPart("late"));
        assertThat(responses).endsWith(expected).doesNotContain("part late").hasSize(afterChunk ? 2 : 1);
        assertThat(sent.contains(new PeerMessage.ForwardCancel("q"))).isEqualTo(failure == ResultCode.OUTCOME_UNKNOWN);
    }

    @Test
    void cancellationThatArrivesBeforeItsRequestCancelsIt() {
        router.handle(new PeerMessage.ForwardCancel("q"), new FakeReply());
        router.handle(new PeerMessage.Forward(REQUEST, 1000, Set.of()), new FakeReply());
        assertThat(cancellations).isEqualTo(1);
    }

    @Test
    void ownerCancelsRequestsOfANodeWhoseConnectionBroke() {
        router.handle(new PeerMessage.Forward(REQUEST, 1000, Set.of()), new FakeReply());
        time.advance(Duration.ofSeconds(2));
        assertThat(cancellations).isZero();
        connected = false;
        time.advance(Duration.ofSeconds(1));
        assertThat(cancellations).isEqualTo(1);
    }

    private RequestForwarder forwarder() {
        NodeInfo self = new NodeInfo("n1", 1, "h", new DataCentre("r", "a"), "", "");
        NodeContext context = new NodeContext(self, time, new EventLog("n1", new HybridClock(time), 10, e -> {}));
        RequestForwarder f = new RequestForwarder(context, new FakePeers(), (request, avoid, sink) -> {
            return () -> {
                cancellations++;
                sink.failed(ResultCode.CALLER_GONE, "cancelled");
            };
        });
        f.registerHandlers(router);
        return f;
    }

    private final class FakePeers implements PeerPort {
        @Override
        public CompletableFuture<PeerMessage> call(
                String address, PeerMessage message, Consumer<PeerMessage> consumer) {
            sent.add(message);
            if (message instanceof PeerMessage.Forward) {
                chunkConsumer = consumer;
                return endReply;
            }
            return new CompletableFuture<>();
        }
    }

    private final class FakeReply implements PeerPort.Reply {
        @Override
        public boolean isOpen() {
            return connected;
        }

        @Override
        public void part(PeerMessage message) {
            sent.add(message);
        }

        @Override
        public void end(PeerMessage message) {
            sent.add(message);
        }
    }

    private final class RecordingSink implements ResponseSink {
        @Override
        public void part(String text) {
            responses.add("part " + text);
        }

        @Override
        public void completed(int tokens) {
            responses.add("done");
        }

        @Override
        public void refused(Refusal refusal) {
            responses.add("refused " + refusal.code());
        }

        @Override
        public void failed(ResultCode code, String message) {
            responses.add("failed " + code);
        }
    }
}
