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
 * Answers where an adapter version or a service is served, with a short lifetime and, for a service, a key for one
 * non-idempotent call. Thread-safe.
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
        ObjectNode answer = service.isEmpty() ? adapter(e, caller) : service(caller, service);
        answer.put("lifetime_ms", node.settings().addressTtl().toMillis());
        answer.put("config_offset", node.config().appliedOffset());
        e.respond(OK, answer);
    }

    private ObjectNode adapter(HttpExchange e, Caller caller) {
        AdapterVersion v =
                new AdapterVersion(e.queryParameter("adapter", ""), Fields.version(e.queryParameter("version", "")));
        node.access().checkAdapter(caller, v);
        return address(node.route(v).owner());
    }

    private ObjectNode service(Caller caller, String service) {
        node.access().checkService(caller, service);
        return address(node.context().self()).put("idempotency_key", keys.issue(caller.name()));
    }

    private static ObjectNode address(NodeInfo where) {
        return Json.object().put("node", where.node()).put("address", where.callerAddress());
    }
}
