package org.quetzalvane.standins.harness;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionException;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.quetzalvane.adapters.http.BufferingHttpClient;
import org.quetzalvane.adapters.http.Json;
import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.exc.QuetzalvaneException;

/**
 * HTTP client that acts as one caller: resolves addresses at the given nodes in turn, until one responds with an
 * address or a caller error, sends requests to the resolved address and buffers the responses. Thread-safe.
 */
public final class CallerClient {
    private static final Duration RESOLVE_TIMEOUT = Duration.ofSeconds(3);
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(60);

    private final BufferingHttpClient httpClient;
    private final String token;
    private final List<String> addresses;

    /**
     * Result of a request. Immutable.
     *
     * @param code number of the result code
     * @param text text received so far
     * @param body JSON of the response or error; if there was no response, an object whose {@code message} is the
     *     failure of this client
     */
    public record Result(int code, String text, JsonNode body) {

        public boolean isComplete() {
            return code == ResultCode.OK.number();
        }

        /** Returns the delay in milliseconds after which a refused request may be retried; 0 if none was given. */
        public long retryAfterMillis() {
            return body.path("retryAfterMillis").asLong();
        }
    }

    CallerClient(BufferingHttpClient httpClient, String token, List<String> addresses) {
        this.httpClient = httpClient;
        this.token = token;
        this.addresses = addresses;
    }

    /** Resolves the address of an adapter version, trying the nodes in turn. */
    public Result resolve(String adapter, int version) {
        return resolve("adapter=" + encode(adapter) + "&version=" + version);
    }

    /** Resolves the address of a service, trying the nodes in turn. */
    public Result resolveService(String service) {
        return resolve("service=" + encode(service));
    }

    /**
     * Resolves the address of a service at a node that has applied at least the given configuration offset, trying the
     * nodes in turn.
     */
    public Result resolveService(String service, long minConfigOffset) {
        return resolve("service=" + encode(service) + "&min_config_offset=" + minConfigOffset);
    }

    /** Resolves an address and requests a streamed completion there. */
    public Result complete(String adapter, int version, String prompt, int tokens) {
        Result resolved = resolve(adapter, version);
        return resolved.isComplete()
                ? completeAt(resolved.body().path("address").asText(), adapter, version, prompt, tokens)
                : resolved;
    }

    /**
     * Requests a streamed completion and retries after the delay given in each refusal, at most {@code maxRetries}
     * times.
     */
    public Result completeWithRetries(String adapter, int version, String prompt, int tokens, int maxRetries) {
        Result last = complete(adapter, version, prompt, tokens);
        for (int i = 0; i < maxRetries && last.retryAfterMillis() > 0; i++) {
            Polling.sleep(Duration.ofMillis(last.retryAfterMillis()));
            last = complete(adapter, version, prompt, tokens);
        }
        return last;
    }

    /** Requests a streamed completion at the given node. */
    public Result completeAt(String address, String adapter, int version, String prompt, int tokens) {
        ObjectNode body = Json.object()
                .put("adapter", adapter)
                .put("version", version)
                .put("prompt", prompt)
                .put("max_tokens", tokens)
                .put("stream", true);
        return send("http://" + address + "/v1/completions", Map.of(), Json.bytes(body));
    }

    /** Requests a completion at the given node, without streaming. */
    public Result completeBufferedAt(String address, String adapter, int version, String prompt, int tokens) {
        ObjectNode body = Json.object()
                .put("adapter", adapter)
                .put("version", version)
                .put("prompt", prompt)
                .put("max_tokens", tokens);
        return send("http://" + address + "/v1/completions", Map.of(), Json.bytes(body));
    }

    /** Calls a service at the given node; the call is non-idempotent if {@code key} is not null. */
    public Result callAt(String address, String service, String key, String body) {
        Map<String, String> headers = key == null ? Map.of() : Map.of("Idempotent", "false", "Idempotency-Key", key);
        byte[] data = body.getBytes(StandardCharsets.UTF_8);
        return send("http://" + address + "/v1/services/" + service, headers, data);
    }

    private Result resolve(String query) {
        Result last = new Result(ResultCode.PEER_UNAVAILABLE.number(), "", Json.object());
        for (String address : addresses) {
            last = get("http://" + address + "/v1/resolve?" + query);
            // Codes below OVERLOADED are caller errors, which every node would return.
            if (last.isComplete() || last.code() < ResultCode.OVERLOADED.number()) {
                return last;
            }
        }
        return last;
    }

    private Result get(String url) {
        return toResult(() -> httpClient
                .call("GET", url, headers(Map.of()), null, RESOLVE_TIMEOUT)
                .join());
    }

    private Result send(String url, Map<String, String> additional, byte[] body) {
        return toResult(() -> httpClient
                .call("POST", url, headers(additional), body, RESPONSE_TIMEOUT)
                .join());
    }

    private Result toResult(java.util.function.Supplier<BufferingHttpClient.Response> call) {
        try {
            return parse(call.get());
        } catch (CompletionException e) {
            return new Result(
                    QuetzalvaneException.codeOf(e).number(),
                    "",
                    Json.object().put("message", String.valueOf(e.getCause().getMessage())));
        }
    }

    private Map<String, String> headers(Map<String, String> additional) {
        Map<String, String> all = new java.util.HashMap<>(additional);
        all.put("Authorization", "Bearer " + token);
        return all;
    }

    private static Result parse(BufferingHttpClient.Response response) {
        String text = new String(response.body(), StandardCharsets.UTF_8);
        if (text.startsWith("data: ")) {
            return parseStream(text);
        }
        JsonNode body = Json.parse(response.body());
        int code = response.isOk() ? 0 : body.path("code").asInt(ResultCode.INTERNAL.number());
        return new Result(code, body.path("text").asText(), body);
    }

    private static Result parseStream(String stream) {
        StringBuilder text = new StringBuilder();
        for (String line : stream.split("\n")) {
            if (!line.startsWith("data: ")) {
                continue;
            }
            JsonNode event = Json.parse(line.substring("data: ".length()).getBytes(StandardCharsets.UTF_8));
            if (event.path("done").asBoolean()) {
                return new Result(0, text.toString(), event);
            }
            if (event.has("error")) {
                return new Result(event.path("error").path("code").asInt(), text.toString(), event.path("error"));
            }
            text.append(event.path("text").asText());
        }
        return new Result(ResultCode.STREAM_BROKEN.number(), text.toString(), Json.object());
    }

    private static String encode(String s) {
        return URLEncoder.encode(s, StandardCharsets.UTF_8);
    }
}
