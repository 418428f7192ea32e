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
import org.quetzalvane.core.request.SerialSink;
import org.quetzalvane.core.time.Scheduler;

/**
 * The one hop by which a request reaches the owner of its engine when the caller came to another node.
 *
 * <p>Invariants: a forwarded request is never forwarded again; it is called not run only when the owner said so or the
 * message was certainly not sent; a broken hop after that is an unknown outcome. While a request waits or runs, the
 * owner sends signs of life, so that a silent hop is noticed. Thread-safe; holds no locks.
 */
final class Forwarding {
    private static final Duration ALIVE_PERIOD = Duration.ofMillis(500);
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long RETRY_MILLIS = 500;
    private static final int CANCELLATIONS_KEPT = 1000;

    private final NodeContext context;
    private final PeerPort peers;
    private final LocalSubmit local;
    private final Map<String, Runnable> served = new ConcurrentHashMap<>();
    private final Cache<String, Boolean> cancelled = Caffeine.newBuilder()
            .maximumSize(CANCELLATIONS_KEPT)
            .executor(Runnable::run)
            .build();

    /** Takes a request on this node only; returns its cancellation. */
    @FunctionalInterface
    interface LocalSubmit {
        Runnable submit(InferenceRequest request, Set<String> avoid, ResponseSink sink);
    }

    Forwarding(NodeContext context, PeerPort peers, LocalSubmit local) {
        this.context = context;
        this.peers = peers;
        this.local = local;
    }

    void serveOn(PeerRouter router) {
        router.serve(PeerMessage.Forward.class, this::serve);
        router.serve(PeerMessage.ForwardCancel.class, (m, reply) -> {
            cancelled.put(m.requestId(), true);
            Runnable cancel = served.get(m.requestId());
            if (cancel != null) {
                cancel.run();
            }
            reply.end(m);
        });
    }

    /** Sends a request to the owner of its engine and passes the answer on; returns its cancellation. */
    Runnable forward(InferenceRequest request, NodeInfo owner, Set<String> avoid, ResponseSink answer) {
        context.events().record(EventCode.REQUEST_FORWARDED, request.id(), "to " + owner.node());
        long remaining = (request.deadlineNanos() - context.scheduler().nanoTime()) / NANOS_PER_MILLI;
        ResponseSink sink = new SerialSink(answer);
        PeerMessage message = new PeerMessage.Forward(request, remaining, avoid);
        peers.call(owner.peerAddress(), message, part -> passPart(part, sink)).whenComplete((end, failure) -> {
            if (failure == null) {
                passEnd(end, sink);
                return;
            }
            ResultCode code = QuetzalvaneException.codeOf(failure);
            if (code != ResultCode.PEER_UNAVAILABLE) {
                cancel(request, owner);
            }
            passFailure(owner, code, failure, sink);
        });
        return () -> cancel(request, owner);
    }

    private void cancel(InferenceRequest request, NodeInfo owner) {
        peers.call(owner.peerAddress(), new PeerMessage.ForwardCancel(request.id()));
    }

    private static void passPart(PeerMessage part, ResponseSink sink) {
        if (part instanceof PeerMessage.ForwardPart) {
            sink.part(((PeerMessage.ForwardPart) part).text());
        }
    }

    private static void passEnd(PeerMessage message, ResponseSink sink) {
        if (!(message instanceof PeerMessage.ForwardEnd)) {
            sink.failed(ResultCode.OUTCOME_UNKNOWN, "the owner answered with something else");
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

    private static void passFailure(NodeInfo owner, ResultCode code, Throwable failure, ResponseSink sink) {
        if (code == ResultCode.PEER_UNAVAILABLE) {
            String message = "the owner " + owner.node() + " cannot be reached";
            sink.refused(Refusal.retryable(ResultCode.NOT_OWNER, message, RETRY_MILLIS));
        } else {
            sink.failed(ResultCode.OUTCOME_UNKNOWN, "the hop broke: " + failure.getMessage());
        }
    }

    private void serve(PeerMessage.Forward m, PeerPort.Reply reply) {
        InferenceRequest sent = m.request();
        long now = context.scheduler().nanoTime();
        InferenceRequest request = sent.withTimes(now, now + m.remainingMillis() * NANOS_PER_MILLI);
        ReplySink sink = new ReplySink(request.id(), reply);
        Set<String> avoid = m.avoid() == null ? Set.of() : m.avoid();
        try {
            sink.started(local.submit(request, avoid, sink));
        } catch (RuntimeException e) {
            sink.failed(ResultCode.INTERNAL, e.toString());
        }
    }

    /** Sends the answer of a forwarded request back over the hop. */
    private final class ReplySink implements ResponseSink {
        private final String id;
        private final PeerPort.Reply reply;
        private final Scheduler.Timer alive;
        private volatile boolean over;

        ReplySink(String id, PeerPort.Reply reply) {
            this.id = id;
            this.reply = reply;
            this.alive = context.scheduler().repeat(ALIVE_PERIOD, this::signOfLife);
        }

        /** Makes the request cancellable; cancels it when that was asked before it came. */
        void started(Runnable cancel) {
            served.put(id, cancel);
            if (over) {
                served.remove(id);
            } else if (cancelled.getIfPresent(id) != null) {
                cancel.run();
            }
        }

        private void signOfLife() {
            Runnable cancel = served.get(id);
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
        public void refused(Refusal r) {
            end(new PeerMessage.ForwardEnd(r.code(), r.message(), 0, r.retryAfterMillis(), r.redirectAddress()));
        }

        @Override
        public void failed(ResultCode code, String message) {
            end(new PeerMessage.ForwardEnd(code, message, 0, 0, ""));
        }

        private void end(PeerMessage.ForwardEnd end) {
            over = true;
            alive.cancel();
            served.remove(id);
            reply.end(end);
        }
    }
}
