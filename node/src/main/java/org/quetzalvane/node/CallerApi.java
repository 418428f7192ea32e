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

/** The routes that callers use: each is served only when the node is ready and the caller's token is known. */
final class CallerApi {
    private static final int IDEMPOTENCY_KEYS = 100_000;
    private static final long RETRY_MILLIS = 500;

    private final Coordinator node;
    private final ShownOffset offsets;
    private final AddressApi addresses;
    private final CompletionApi completions;
    private final ServiceApi services;

    /** Serves an authenticated caller. */
    @FunctionalInterface
    private interface CallerRoute {
        void handle(HttpExchange exchange, Caller caller);
    }

    CallerApi(Coordinator node) {
        this.node = node;
        this.offsets = new ShownOffset(node);
        NodeInfo self = node.context().self();
        IdempotencyTable keys = new IdempotencyTable(self.node(), self.incarnation(), IDEMPOTENCY_KEYS);
        RequestIds ids = new RequestIds(self);
        this.addresses = new AddressApi(node, keys);
        this.completions = new CompletionApi(node, offsets, ids);
        this.services = new ServiceApi(node, keys, ids);
    }

    JettyHttpServer.Builder routes(JettyHttpServer.Builder b) {
        return b.route("GET", "/v1/resolve", guarded(addresses::resolve))
                .route("POST", "/v1/completions", guarded(completions::complete))
                .route("POST", ServiceApi.PATH, guarded(services::call));
    }

    private JettyHttpServer.Route guarded(CallerRoute route) {
        return e -> {
            try {
                requireReady();
                offsets.after(e, e.queryParameter(ShownOffset.FIELD, ""), () -> authenticated(e, route));
            } catch (RefusedException r) {
                Replies.refusal(e, r.refusal());
            }
        };
    }

    private void authenticated(HttpExchange e, CallerRoute route) {
        route.handle(e, node.access().authenticate(e.bearerToken()));
    }

    private void requireReady() {
        if (!node.ready() && !node.draining()) {
            throw new RefusedException(
                    Refusal.retryable(ResultCode.NOT_READY, "the configuration is still being read", RETRY_MILLIS));
        }
    }
}
