package org.quetzalvane.node;

import org.quetzalvane.adapters.http.HttpExchange;
import org.quetzalvane.adapters.http.JettyHttpServer;
import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.cluster.NodeInfo;
import org.quetzalvane.core.exc.RefusedException;
import org.quetzalvane.core.model.Caller;
import org.quetzalvane.core.node.Coordinator;
import org.quetzalvane.core.request.IdempotencyTable;
import org.quetzalvane.core.request.Refusal;

/** HTTP API for callers. A request is served only if the node is ready and the caller's token is known. */
final class CallerApi {
    private static final int MAX_IDEMPOTENCY_KEYS = 100_000;
    private static final long RETRY_AFTER_MILLIS = 500;

    private final Coordinator node;
    private final ConfigOffsetGate configOffsetGate;
    private final AddressApi addresses;
    private final CompletionApi completions;
    private final ServiceApi services;

    /** Handler for requests of authenticated callers. */
    @FunctionalInterface
    private interface CallerRoute {
        void handle(HttpExchange exchange, Caller caller);
    }

    CallerApi(Coordinator node) {
        this.node = node;
        this.configOffsetGate = new ConfigOffsetGate(node);
        NodeInfo self = node.context().self();
        IdempotencyTable keys = new IdempotencyTable(self.node(), self.incarnation(), MAX_IDEMPOTENCY_KEYS);
        RequestIds ids = new RequestIds(self);
        this.addresses = new AddressApi(node, keys);
        this.completions = new CompletionApi(node, configOffsetGate, ids);
        this.services = new ServiceApi(node, keys, ids);
    }

    JettyHttpServer.Builder routes(JettyHttpServer.Builder b) {
        return b.route("GET", "/v1/resolve", authenticatedRoute(addresses::resolve))
                .route("POST", "/v1/completions", authenticatedRoute(completions::complete))
                .route("POST", ServiceApi.PATH, authenticatedRoute(services::call));
    }

    /**
     * Checks that the node serves, waits for the configuration offset that the query states, then authenticates the
     * caller and handles the request.
     */
    private JettyHttpServer.Route authenticatedRoute(CallerRoute route) {
        return e -> {
            try {
                requireReady();
                configOffsetGate.runAfter(
                        e, e.queryParameter(ConfigOffsetGate.FIELD, ""), () -> handleAuthenticated(e, route));
            } catch (RefusedException r) {
                ErrorResponses.sendRefusal(e, r.refusal());
            }
        };
    }

    private void handleAuthenticated(HttpExchange e, CallerRoute route) {
        route.handle(e, node.access().authenticate(e.bearerToken()));
    }

    private void requireReady() {
        if (!node.ready() && !node.draining()) {
            throw new RefusedException(Refusal.retryable(
                    ResultCode.NOT_READY,
                    "this node is not ready: the configuration and the ownership records are not applied yet",
                    RETRY_AFTER_MILLIS));
        }
    }
}
