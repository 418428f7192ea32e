package org.quetzalvane.node;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;

import org.quetzalvane.adapters.http.HttpExchange;
import org.quetzalvane.core.model.Caller;
import org.quetzalvane.core.model.Service;
import org.quetzalvane.core.node.Coordinator;
import org.quetzalvane.core.node.ServiceCalls;
import org.quetzalvane.core.port.ServicePort.ServiceResponse;
import org.quetzalvane.core.request.ForeignIdempotencyKeys;
import org.quetzalvane.core.request.IdempotencyTable;

/**
 * Accepts calls of services that serve no models. A call that is marked as not idempotent runs at most once per key.
 * Thread-safe.
 */
final class ServiceApi {
    static final String PATH = "/v1/services/";

    private static final long TIMEOUT_MILLIS = 30_000;

    private final Coordinator node;
    private final IdempotencyTable keys;
    private final ForeignIdempotencyKeys foreignKeys;
    private final ServiceCalls calls;

    ServiceApi(Coordinator node, IdempotencyTable keys, RequestIds ids) {
        this.node = node;
        this.keys = keys;
        this.foreignKeys = new ForeignIdempotencyKeys(node.context().self(), node.membership()::find);
        this.calls = new ServiceCalls(node.ports().services(), node.context().scheduler(), ids::next);
    }

    void call(HttpExchange e, Caller caller) {
        String name = e.path().substring(PATH.length());
        node.access().checkService(caller, name);
        e.body()
                .thenCompose(body -> dispatch(e, caller, name, new String(body, StandardCharsets.UTF_8)))
                .whenComplete((response, failure) -> {
                    if (failure == null) {
                        byte[] body = response.body().getBytes(StandardCharsets.UTF_8);
                        e.respond(response.status(), "application/json", body);
                    } else {
                        ErrorResponses.sendFailure(e, failure);
                    }
                });
    }

    private CompletableFuture<ServiceResponse> dispatch(HttpExchange e, Caller caller, String name, String body) {
        Service service = node.config().read(s -> s.service(name)).orElseThrow();
        boolean idempotent = !"false".equals(e.header("Idempotent"));
        if (idempotent) {
            return calls.call(service, caller.name(), true, body, TIMEOUT_MILLIS);
        }
        String key = e.header("Idempotency-Key");
        return key == null || !keys.hasPrefixOfThisProcess(key)
                ? CompletableFuture.failedFuture(foreignKeys.failureFor(key))
                : keys.runOnce(
                        key, caller.name(), () -> calls.call(service, caller.name(), false, body, TIMEOUT_MILLIS));
    }
}
