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

/** The log service over HTTP. Thread-safe. */
public final class HttpLogPort implements LogPort {
    private static final Duration TIMEOUT = Duration.ofSeconds(3);
    private static final int GONE = 410;

    private final BufferingHttpClient calls;
    private final String baseUrl;

    public HttpLogPort(BufferingHttpClient calls, String baseUrl) {
        this.calls = calls;
        this.baseUrl = baseUrl;
    }

    @Override
    public CompletableFuture<Long> append(String stream, byte[] data) {
        return calls.call("POST", baseUrl + "/streams/" + stream, Map.of(), data, TIMEOUT)
                .thenApply(a -> Json.parse(ok(a).body()).path("offset").asLong());
    }

    @Override
    public CompletableFuture<LogBatch> read(String stream, long from, int maxRecords) {
        String url = baseUrl + "/streams/" + stream + "?from=" + from + "&max=" + maxRecords;
        return calls.get(url, TIMEOUT).thenApply(HttpLogPort::batch);
    }

    private static LogBatch batch(BufferingHttpClient.Response a) {
        if (a.status() == GONE) {
            throw new LogExpiredException(Json.parse(a.body()).path("first").asLong());
        }
        JsonNode node = Json.parse(ok(a).body());
        List<LogBatch.LogRecord> records = new ArrayList<>();
        for (JsonNode r : node.path("records")) {
            records.add(new LogBatch.LogRecord(r.path("offset").asLong(), bytes(r.path("data"))));
        }
        return new LogBatch(records, node.path("end").asLong());
    }

    private static byte[] bytes(JsonNode base64) {
        try {
            return base64.binaryValue();
        } catch (IOException e) {
            throw new QuetzalvaneException(ResultCode.LOG_UNAVAILABLE, "the log answered with bad data", e);
        }
    }

    private static BufferingHttpClient.Response ok(BufferingHttpClient.Response a) {
        if (!a.isOk()) {
            throw new QuetzalvaneException(ResultCode.LOG_UNAVAILABLE, "the log answered with status " + a.status());
        }
        return a;
    }
}
