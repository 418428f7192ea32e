package org.quetzalvane.core.node;

import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.cluster.NodeContext;
import org.quetzalvane.core.cluster.NodeInfo;
import org.quetzalvane.core.event.EventCode;
import org.quetzalvane.core.exc.QuetzalvaneException;
import org.quetzalvane.core.peer.PeerMessage;
import org.quetzalvane.core.peer.PeerPort;
import org.quetzalvane.core.peer.PeerRouter;
import org.quetzalvane.core.request.InferenceRequest;
import org.quetzalvane.core.request.Refusal;
import org.quetzalvane.core.request.ResponseSink;
import org.quetzalvane.core.request.SerialResponseSink;
import org.quetzalvane.core.time.Scheduler;

/**
 * Forwards a request to the node that owns its engine, and handles requests forwarded by other nodes.
 *
 * <p>Invariants: a forwarded request is never forwarded again; it is reported as not run only if the owner reported so
 * or the message was certainly not sent; if the connection breaks later, the outcome is unknown. While a request is
 * queued or runs, the owner sends keep-alives, so that a silent connection is detected. Thread-safe; takes no locks.
 */
final class RequestForwarder {
    private static final Duration KEEP_ALIVE_INTERVAL = Duration.ofMillis(500);
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long RETRY_AFTER_MILLIS = 500;
    private static final int MAX_CANCELLED_IDS = 1000;

    private final NodeContext context;
    private final PeerPort peers;
    private final LocalSubmit localSubmit;
    private final Map<String, Runnable> cancellations = new ConcurrentHashMap<>();
    private final Cache<String, Boolean> cancelledIds = Caffeine.newBuilder()
            .maximumSize(MAX_CANCELLED_IDS)
            .executor(Runnable::run)
            .build();

    /** Submits a request to the engines that this node owns, without forwarding it; returns its cancellation. */
    @FunctionalInterface
    interface LocalSubmit {
        Runnable submit(InferenceRequest request, Set<String> avoid, ResponseSink sink);
    }

    RequestForwarder(NodeContext context, PeerPort peers, LocalSubmit localSubmit) {
        this.context = context;
        this.peers = peers;
        this.localSubmit = localSubmit;
    }

    void registerHandlers(PeerRouter router) {
        router.register(PeerMessage.Forward.class, this::handleForward);
        router.register(PeerMessage.ForwardCancel.class, (m, reply) -> {
            cancelledIds.put(m.requestId(), true);
            Runnable cancel = cancellations.get(m.requestId());
            if (cancel != null) {
                cancel.run();
            }
            reply.end(m);
        });
    }

    /** Sends a request to the owner of its engine and relays the response; returns its cancellation. */
    Runnable forward(InferenceRequest request, NodeInfo owner, Set<String> avoid, ResponseSink sink) {
        context.events().record(EventCode.REQUEST_FORWARDED, request.id(), "to " + owner.node());
        long remainingMillis = (request.deadlineNanos() - context.scheduler().nanoTime()) / NANOS_PER_MILLI;
        ResponseSink serialSink = new SerialResponseSink(sink);
        PeerMessage message = new PeerMessage.Forward(request, remainingMillis, avoid);
        peers.call(owner.peerAddress(), message, part -> relayChunk(part, serialSink))
                .whenComplete((end, failure) -> {
                    if (failure == null) {
                        relayEnd(end, serialSink);
                        return;
                    }
                    ResultCode code = QuetzalvaneException.codeOf(failure);
                    if (code != ResultCode.PEER_UNAVAILABLE) {
                        cancel(request, owner);
                    }
                    relayFailure(owner, code, failure, serialSink);
                });
        return () -> cancel(request, owner);
    }

    private void cancel(InferenceRequest request, NodeInfo owner) {
        peers.call(owner.peerAddress(), new PeerMessage.ForwardCancel(request.id()));
    }

    private static void relayChunk(PeerMessage part, ResponseSink sink) {
        if (part instanceof PeerMessage.ForwardPart) {
            sink.part(((PeerMessage.ForwardPart) part).text());
        }
    }

    private static void relayEnd(PeerMessage message, ResponseSink sink) {
        if (!(message instanceof PeerMessage.ForwardEnd)) {
            sink.failed(
                    ResultCode.OUTCOME_UNKNOWN,
                    "expected the end of the response from the owner, got another peer message");
            return;
        }
        PeerMessage.ForwardEnd end = (PeerMessage.ForwardEnd) message;
        if (end.code() == ResultCode.OK) {
            sink.completed(end.tokens());
        } else if (end.code().provesNotRun()) {
            sink.refused(new Refusal(end.code(), end.message(), end.retryAfterMillis(), end.where()));
        } else {
            sink.failed(end.code(), end.message());
        }
    }

    private static void relayFailure(NodeInfo owner, ResultCode code, Throwable failure, ResponseSink sink) {
        if (code == ResultCode.PEER_UNAVAILABLE) {
            String message =
                    "could not connect to node " + owner.node() + ", the owner of the engine; the request was not sent";
            sink.refused(Refusal.retryable(ResultCode.NOT_OWNER, message, RETRY_AFTER_MILLIS));
        } else {
            sink.failed(
                    ResultCode.OUTCOME_UNKNOWN,
                    "the connection to the owner of the engine broke: " + failure.getMessage());
        }
    }

    private void handleForward(PeerMessage.Forward message, PeerPort.Reply reply) {
        InferenceRequest received = message.request();
        long now = context.scheduler().nanoTime();
        InferenceRequest request = received.withTimes(now, now + message.remainingMillis() * NANOS_PER_MILLI);
        ReplySink sink = new ReplySink(request.id(), reply);
        Set<String> avoid = message.avoid() == null ? Set.of() : message.avoid();
        try {
            sink.started(localSubmit.submit(request, avoid, sink));
        } catch (RuntimeException e) {
            sink.failed(ResultCode.INTERNAL, e.toString());
        }
    }

    /** Sends the response of a forwarded request back to the forwarding node. */
    private final class ReplySink implements ResponseSink {
        private final String id;
        private final PeerPort.Reply reply;
        private final Scheduler.Timer keepAliveTimer;
        private volatile boolean ended;

        ReplySink(String id, PeerPort.Reply reply) {
            this.id = id;
            this.reply = reply;
            this.keepAliveTimer = context.scheduler().repeat(KEEP_ALIVE_INTERVAL, this::sendKeepAlive);
        }

        /**
         * Registers the cancellation of the request; runs it if the cancellation message arrived before the request.
         */
        void started(Runnable cancel) {
            cancellations.put(id, cancel);
            if (ended) {
                cancellations.remove(id);
            } else if (cancelledIds.getIfPresent(id) != null) {
                cancel.run();
            }
        }

        private void sendKeepAlive() {
            Runnable cancel = cancellations.get(id);
            if (reply.isOpen()) {
                reply.part(new PeerMessage.ForwardAlive());
            } else if (cancel != null) {
                cancel.run();
            }
        }

        @Override
        public void part(String text) {
            reply.part(new PeerMessage.ForwardPart(text));
        }

        @Override
        public void completed(int tokens) {
            end(new PeerMessage.ForwardEnd(ResultCode.OK, "", tokens, 0, ""));
        }

        @Override
        public void refused(Refusal refusal) {
            end(new PeerMessage.ForwardEnd(
                    refusal.code(), refusal.message(), 0, refusal.retryAfterMillis(), refusal.redirectAddress()));
        }

        @Override
        public void failed(ResultCode code, String message) {
            end(new PeerMessage.ForwardEnd(code, message, 0, 0, ""));
        }

        private void end(PeerMessage.ForwardEnd end) {
            ended = true;
            keepAliveTimer.cancel();
            cancellations.remove(id);
            reply.end(end);
        }
    }
}
