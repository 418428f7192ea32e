package org.quetzalvane.node;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.quetzalvane.adapters.http.HttpExchange;
import org.quetzalvane.adapters.http.Json;
import org.quetzalvane.core.cluster.NodeInfo;
import org.quetzalvane.core.model.AdapterVersion;
import org.quetzalvane.core.model.Caller;
import org.quetzalvane.core.node.Coordinator;
import org.quetzalvane.core.request.IdempotencyTable;

/**
 * HTTP API for callers that returns the address of the node that serves an adapter version or a service. For an adapter
 * version this is the owner of an engine, for a service the node itself. The response states a short lifetime and, for
 * a service, an idempotency key for one call that is not idempotent. Thread-safe.
 */
final class AddressApi {
    private static final int OK = 200;

    private final Coordinator node;
    private final IdempotencyTable keys;

    AddressApi(Coordinator node, IdempotencyTable keys) {
        this.node = node;
        this.keys = keys;
    }

    void resolve(HttpExchange e, Caller caller) {
        String service = e.queryParameter("service", "");
        ObjectNode response = service.isEmpty() ? adapter(e, caller) : service(caller, service);
        response.put("lifetime_ms", node.settings().addressTtl().toMillis());
        response.put("config_offset", node.config().appliedOffset());
        e.respond(OK, response);
    }

    private ObjectNode adapter(HttpExchange e, Caller caller) {
        AdapterVersion v = new AdapterVersion(
                e.queryParameter("adapter", ""), RequestFields.version(e.queryParameter("version", "")));
        node.access().checkAdapter(caller, v);
        return address(node.route(v).owner());
    }

    private ObjectNode service(Caller caller, String service) {
        node.access().checkService(caller, service);
        return address(node.context().self()).put("idempotency_key", keys.issue(caller.name()));
    }

    private static ObjectNode address(NodeInfo target) {
        return Json.object().put("node", target.node()).put("address", target.callerAddress());
    }
}
