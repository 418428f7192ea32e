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

/** {@link HostListPort} over the HTTP interface of the platform's host list. Thread-safe. */
public final class HttpHostListPort implements HostListPort {
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(2);
    private static final String STATE_LEAVING = "leaving";

    private final BufferingHttpClient httpClient;
    private final String baseUrl;

    public HttpHostListPort(BufferingHttpClient httpClient, String baseUrl) {
        this.httpClient = httpClient;
        this.baseUrl = baseUrl;
    }

    @Override
    public CompletableFuture<List<HostEntry>> list() {
        return httpClient.get(baseUrl + "/hosts", REQUEST_TIMEOUT).thenApply(HttpHostListPort::toHostEntries);
    }

    private static List<HostEntry> toHostEntries(BufferingHttpClient.Response response) {
        if (!response.isOk()) {
            throw new QuetzalvaneException(
                    ResultCode.LOG_UNAVAILABLE, "host list returned HTTP status " + response.status());
        }
        List<HostEntry> entries = new ArrayList<>();
        for (JsonNode item : Json.parse(response.body()).path("hosts")) {
            entries.add(new HostEntry(
                    item.path("host").asText(),
                    STATE_LEAVING.equals(item.path("state").asText())));
        }
        return entries;
    }
}
