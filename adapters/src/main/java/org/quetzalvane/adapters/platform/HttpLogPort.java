package org.quetzalvane.adapters.platform;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.JsonNode;
import org.quetzalvane.adapters.http.BufferingHttpClient;
import org.quetzalvane.adapters.http.Json;
import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.exc.LogExpiredException;
import org.quetzalvane.core.exc.QuetzalvaneException;
import org.quetzalvane.core.port.LogBatch;
import org.quetzalvane.core.port.LogPort;

/** {@link LogPort} over the HTTP interface of the platform's log service. Thread-safe. */
public final class HttpLogPort implements LogPort {
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(3);
    private static final int HTTP_GONE = 410;

    private final BufferingHttpClient httpClient;
    private final String baseUrl;

    public HttpLogPort(BufferingHttpClient httpClient, String baseUrl) {
        this.httpClient = httpClient;
        this.baseUrl = baseUrl;
    }

    @Override
    public CompletableFuture<Long> append(String stream, byte[] data) {
        return httpClient
                .call("POST", baseUrl + "/streams/" + stream, Map.of(), data, REQUEST_TIMEOUT)
                .thenApply(response ->
                        Json.parse(requireOk(response).body()).path("offset").asLong());
    }

    @Override
    public CompletableFuture<LogBatch> read(String stream, long from, int maxRecords) {
        String url = baseUrl + "/streams/" + stream + "?from=" + from + "&max=" + maxRecords;
        return httpClient.get(url, REQUEST_TIMEOUT).thenApply(HttpLogPort::toBatch);
    }

    private static LogBatch toBatch(BufferingHttpClient.Response response) {
        if (response.status() == HTTP_GONE) {
            throw new LogExpiredException(
                    Json.parse(response.body()).path("first").asLong());
        }
        JsonNode node = Json.parse(requireOk(response).body());
        List<LogBatch.LogRecord> records = new ArrayList<>();
        for (JsonNode item : node.path("records")) {
            records.add(new LogBatch.LogRecord(item.path("offset").asLong(), decodeData(item.path("data"))));
        }
        return new LogBatch(records, node.path("end").asLong());
    }

    private static byte[] decodeData(JsonNode base64) {
        try {
            return base64.binaryValue();
        } catch (IOException e) {
            throw new QuetzalvaneException(
                    ResultCode.LOG_UNAVAILABLE, "log service returned a record that is not valid base64", e);
        }
    }

    private static BufferingHttpClient.Response requireOk(BufferingHttpClient.Response response) {
        if (!response.isOk()) {
            throw new QuetzalvaneException(
                    ResultCode.LOG_UNAVAILABLE, "log service returned HTTP status " + response.status());
        }
        return response;
    }
}
