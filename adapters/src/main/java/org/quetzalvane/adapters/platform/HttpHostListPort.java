package org.quetzalvane.adapters.platform;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.JsonNode;
import org.quetzalvane.adapters.http.BufferingHttpClient;
import org.quetzalvane.adapters.http.Json;
import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.exc.QuetzalvaneException;
import org.quetzalvane.core.port.HostListPort;

/** The host list over HTTP. Thread-safe. */
public final class HttpHostListPort implements HostListPort {
    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final String LEAVING = "leaving";

    private final BufferingHttpClient calls;
    private final String baseUrl;

    public HttpHostListPort(BufferingHttpClient calls, String baseUrl) {
        this.calls = calls;
        this.baseUrl = baseUrl;
    }

    @Override
    public CompletableFuture<List<HostEntry>> list() {
        return calls.get(baseUrl + "/hosts", TIMEOUT).thenApply(HttpHostListPort::hosts);
    }

    private static List<HostEntry> hosts(BufferingHttpClient.Response a) {
        if (!a.isOk()) {
            throw new QuetzalvaneException(ResultCode.LOG_UNAVAILABLE, "the host list answered " + a.status());
        }
        List<HostEntry> hosts = new ArrayList<>();
        for (JsonNode h : Json.parse(a.body()).path("hosts")) {
            hosts.add(new HostEntry(
                    h.path("host").asText(), LEAVING.equals(h.path("state").asText())));
        }
        return hosts;
    }
}
