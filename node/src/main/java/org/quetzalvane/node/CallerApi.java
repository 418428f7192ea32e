package org.quetzalvane.node;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.quetzalvane.adapters.http.ErrorBody;
import org.quetzalvane.adapters.http.Exchange;
import org.quetzalvane.adapters.http.HttpService;
import org.quetzalvane.adapters.http.Json;
import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.cluster.NodeInfo;
import org.quetzalvane.core.exc.QuetzalvaneException;
import org.quetzalvane.core.exc.RefusedException;
import org.quetzalvane.core.model.AdapterVersion;
import org.quetzalvane.core.model.Caller;
import org.quetzalvane.core.model.Service;
import org.quetzalvane.core.node.Coordinator;
import org.quetzalvane.core.port.ServicePort;
import org.quetzalvane.core.request.IdempotencyTable;
import org.quetzalvane.core.request.InferenceRequest;
import org.quetzalvane.core.request.Refusal;
import org.quetzalvane.core.routing.Access;
import org.quetzalvane.core.routing.Route;

/** What callers use: address answers, completions and service calls. Thread-safe. */
final class CallerApi {
    private static final int OK = 200;
    private static final int IDEMPOTENCY_KEYS = 100_000;
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long DEFAULT_TIMEOUT_MILLIS = 30_000;
    private static final long MAX_TIMEOUT_MILLIS = 300_000;
    private static final int DEFAULT_MAX_TOKENS = 256;
    private static final int MAX_TOKENS = 1_000_000;
    private static final int MAX_PRIORITY = 9;
    private static final long RETRY_MILLIS = 500;
    private static final String MIN_OFFSET = "min_config_offset";
    private static final String SERVICES = "/v1/services/";

    private final Coordinator node;
    private final Access access;
    private final IdempotencyTable keys;
    private final AtomicLong sequence = new AtomicLong();

    CallerApi(Coordinator node) {
        this.node = node;
        this.access = node.access();
        NodeInfo self = node.context().self();
        this.keys = new IdempotencyTable(self.node(), self.incarnation(), IDEMPOTENCY_KEYS);
    }

    HttpService.Builder routes(HttpService.Builder b) {
        return b.route("GET", "/v1/resolve", guarded(this::resolve))
                .route("POST", "/v1/completions", guarded(this::complete))
                .route("POST", SERVICES, guarded(this::callService));
    }

    // Address answers

    private void resolve(Exchange e) {
        requireReady();
        afterOffset(e, e.query(MIN_OFFSET, ""), () -> answerAddress(e));
    }

    private void answerAddress(Exchange e) {
        Caller caller = access.authenticate(e.bearerToken());
        String service = e.query("service", "");
        ObjectNode answer = Json.object();
        if (service.isEmpty()) {
            AdapterVersion v = new AdapterVersion(e.query("adapter", ""), number(e.query("version", "")));
            access.checkAdapter(caller, v);
            Route route = node.route(v);
            answer.put("node", route.owner().node());
            answer.put("address", route.owner().callerAddress());
        } else {
            access.checkService(caller, service);
            answer.put("node", node.context().self().node());
            answer.put("address", node.context().self().callerAddress());
            answer.put("idempotency_key", keys.issue(caller.name()));
        }
        answer.put("lifetime_ms", node.settings().answerLifetime().toMillis());
        answer.put("config_offset", node.config().appliedOffset());
        e.reply(OK, answer);
    }

    // Completions

    private void complete(Exchange e) {
        requireReady();
        Caller caller = access.authenticate(e.bearerToken());
        e.body().whenComplete((body, failure) -> {
            try {
                if (failure != null) {
                    throw failure instanceof QuetzalvaneException
                            ? (QuetzalvaneException) failure
                            : new QuetzalvaneException(ResultCode.INTERNAL, failure.toString(), failure);
                }
                JsonNode request = Json.parse(body);
                afterOffset(e, request.path(MIN_OFFSET).asText(""), () -> submit(e, caller, request));
            } catch (RefusedException r) {
                replyRefusal(e, r.refusal());
            } catch (RuntimeException r) {
                HttpService.replyFailure(e, r);
            }
        });
    }

    private void submit(Exchange e, Caller caller, JsonNode body) {
        AdapterVersion v = new AdapterVersion(
                text(body, "adapter"), number(body.path("version").asText()));
        access.checkAdapter(caller, v);
        boolean stream = body.path("stream").asBoolean(false);
        InferenceRequest request = request(caller, v, body);
        CompletionSink sink = stream ? CompletionSink.streaming(e, request) : CompletionSink.whole(e, request);
        sink.onGone(node.submit(request, sink));
    }

    private InferenceRequest request(Caller caller, AdapterVersion v, JsonNode body) {
        long now = node.context().scheduler().nanoTime();
        long timeout = whole(body, "timeout_ms", DEFAULT_TIMEOUT_MILLIS, 1, MAX_TIMEOUT_MILLIS);
        return new InferenceRequest(
                node.context().self().node() + "-" + sequence.incrementAndGet(),
                caller.name(),
                v,
                text(body, "prompt"),
                (int) whole(body, "max_tokens", DEFAULT_MAX_TOKENS, 1, MAX_TOKENS),
                (int) whole(body, "priority", 0, 0, MAX_PRIORITY),
                now,
                now + timeout * NANOS_PER_MILLI,
                body.path("idempotent").asBoolean(true));
    }

    // Service calls

    private void callService(Exchange e) {
        requireReady();
        Caller caller = access.authenticate(e.bearerToken());
        String name = e.path().substring(SERVICES.length());
        access.checkService(caller, name);
        e.body().whenComplete((body, failure) -> {
            if (failure != null) {
                HttpService.replyFailure(e, failure);
                return;
            }
            dispatchCall(e, caller, name, new String(body, StandardCharsets.UTF_8))
                    .whenComplete((answer, failed) -> {
                        if (failed == null) {
                            e.reply(
                                    answer.status(),
                                    "application/json",
                                    answer.body().getBytes(StandardCharsets.UTF_8));
                        } else {
                            replyThrowable(e, failed);
                        }
                    });
        });
    }

    private CompletableFuture<ServicePort.ServiceAnswer> dispatchCall(
            Exchange e, Caller caller, String name, String body) {
        Service service = node.config().read(s -> s.service(name)).orElseThrow();
        boolean idempotent = !"false".equals(e.header("Idempotent"));
        String attempt = node.context().self().node() + "-s" + sequence.incrementAndGet();
        ServicePort.ServiceCall call =
                new ServicePort.ServiceCall(attempt, caller.name(), idempotent, body, DEFAULT_TIMEOUT_MILLIS);
        if (idempotent) {
            return node.ports().services().call(service, call);
        }
        String key = e.header("Idempotency-Key");
        if (key == null || !keys.isOwn(key)) {
            return CompletableFuture.failedFuture(new RefusedException(foreignKey(key)));
        }
        return keys.runOnce(key, caller.name(), () -> node.ports().services().call(service, call));
    }

    private Refusal foreignKey(String key) {
        if (key == null) {
            return Refusal.of(ResultCode.KEY_REQUIRED, "ask for an address first; the answer carries a key");
        }
        NodeInfo holder = IdempotencyTable.issuer(key)
                .flatMap(n -> node.membership().find(n))
                .filter(n -> n.incarnation() == IdempotencyTable.incarnation(key))
                .orElseThrow(() -> new QuetzalvaneException(
                        ResultCode.NEVER_WILL_RUN, "the holder of the key is gone; it will never run"));
        return Refusal.retry(ResultCode.HELD_ELSEWHERE, "the key is held by " + holder.node(), 0)
                .withWhere(holder.callerAddress());
    }

    // Helpers

    /** Runs an action once the configuration offset that the caller showed is applied here, or refuses. */
    private void afterOffset(Exchange e, String shown, Runnable action) {
        long offset = shown.isEmpty() ? -1 : offset(shown);
        if (offset <= node.config().appliedOffset()) {
            action.run();
            return;
        }
        node.reachConfig(offset).thenAccept(reached -> {
            try {
                if (!reached) {
                    String message = "configuration offset " + offset + " has not been read here yet";
                    throw new RefusedException(Refusal.retry(ResultCode.NOT_READY, message, RETRY_MILLIS));
                }
                action.run();
            } catch (RefusedException r) {
                replyRefusal(e, r.refusal());
            } catch (RuntimeException r) {
                HttpService.replyFailure(e, r);
            }
        });
    }

    private static long offset(String text) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            throw new QuetzalvaneException(ResultCode.MALFORMED_REQUEST, MIN_OFFSET + " must be a whole number");
        }
    }

    private HttpService.Route guarded(HttpService.Route route) {
        return e -> {
            try {
                route.handle(e);
            } catch (RefusedException r) {
                replyRefusal(e, r.refusal());
            }
        };
    }

    private void requireReady() {
        if (!node.ready() && !node.draining()) {
            throw new RefusedException(
                    Refusal.retry(ResultCode.NOT_READY, "the configuration is still being read", RETRY_MILLIS));
        }
    }

    private static void replyThrowable(Exchange e, Throwable failure) {
        Throwable cause = failure instanceof RefusedException ? failure : failure.getCause();
        if (cause instanceof RefusedException) {
            replyRefusal(e, ((RefusedException) cause).refusal());
        } else {
            HttpService.replyFailure(e, failure);
        }
    }

    static void replyRefusal(Exchange e, Refusal r) {
        if (r.code() == ResultCode.UNAUTHENTICATED) {
            e.withHeader("WWW-Authenticate", "Bearer");
        }
        if (r.retryAfterMillis() > 0) {
            long seconds = (r.retryAfterMillis() + 999) / 1000;
            e.withHeader("Retry-After", Long.toString(seconds));
        }
        e.reply(r.code().httpStatus(), ErrorBody.of(r));
    }

    private static String text(JsonNode body, String field) {
        String value = body.path(field).asText("");
        if (value.isEmpty()) {
            throw new QuetzalvaneException(ResultCode.MALFORMED_REQUEST, field + " is missing");
        }
        return value;
    }

    private static long whole(JsonNode body, String field, long missing, long min, long max) {
        JsonNode value = body.path(field);
        if (value.isMissingNode()) {
            return missing;
        }
        boolean fits = value.canConvertToLong() && value.isIntegralNumber();
        if (!fits || value.longValue() < min || value.longValue() > max) {
            throw new QuetzalvaneException(
                    ResultCode.MALFORMED_REQUEST, field + " must be a whole number from " + min + " to " + max);
        }
        return value.longValue();
    }

    private static int number(String text) {
        try {
            return Integer.parseInt(text);
        } catch (NumberFormatException e) {
            throw new QuetzalvaneException(ResultCode.MALFORMED_REQUEST, "version must be a whole number");
        }
    }
}
