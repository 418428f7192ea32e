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

/** A caller: asks any node for an address, connects there, and reads whole answers. Thread-safe. */
public final class CallerClient {
    private static final Duration RESOLVE_TIMEOUT = Duration.ofSeconds(3);
    private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(60);

    private final BufferingHttpClient calls;
    private final String token;
    private final List<String> addresses;

    /**
     * What became of a request. Immutable.
     *
     * @param code number of the result code
     * @param text the answer so far
     * @param body the JSON of the answer or error
     */
    public record Result(int code, String text, JsonNode body) {

        public boolean isWhole() {
            return code == ResultCode.OK.number();
        }

        /** Milliseconds after which a refused request may come back; 0 when it was told no time. */
        public long comeBackMillis() {
            return body.path("retryAfterMillis").asLong();
        }
    }

    CallerClient(BufferingHttpClient calls, String token, List<String> addresses) {
        this.calls = calls;
        this.token = token;
        this.addresses = addresses;
    }

    /** Asks the nodes in turn for the address of an adapter version. */
    public Result resolve(String adapter, int version) {
        return resolve("adapter=" + encode(adapter) + "&version=" + version);
    }

    /** Asks the nodes in turn for the address of a service. */
    public Result resolveService(String service) {
        return resolve("service=" + encode(service));
    }

    /** Asks the nodes in turn for the address of a service under a configuration offset or a newer one. */
    public Result resolveService(String service, long minConfigOffset) {
        return resolve("service=" + encode(service) + "&min_config_offset=" + minConfigOffset);
    }

    /** Resolves, connects and asks for a streamed completion. */
    public Result complete(String adapter, int version, String prompt, int tokens) {
        Result where = resolve(adapter, version);
        return where.isWhole()
                ? completeAt(where.body().path("address").asText(), adapter, version, prompt, tokens)
                : where;
    }

    /** Asks for a streamed completion and comes back as told, a number of times at most. */
    public Result completeComingBack(String adapter, int version, String prompt, int tokens, int times) {
        Result last = complete(adapter, version, prompt, tokens);
        for (int i = 0; i < times && last.comeBackMillis() > 0; i++) {
            Await.pause(Duration.ofMillis(last.comeBackMillis()));
            last = complete(adapter, version, prompt, tokens);
        }
        return last;
    }

    /** Asks a node for a streamed completion. */
    public Result completeAt(String address, String adapter, int version, String prompt, int tokens) {
        ObjectNode body = Json.object()
                .put("adapter", adapter)
                .put("version", version)
                .put("prompt", prompt)
                .put("max_tokens", tokens)
                .put("stream", true);
        return send("http://" + address + "/v1/completions", Map.of(), Json.bytes(body));
    }

    /** Asks a node for a completion that is answered as one whole. */
    public Result completeWholeAt(String address, String adapter, int version, String prompt, int tokens) {
        ObjectNode body = Json.object()
                .put("adapter", adapter)
                .put("version", version)
                .put("prompt", prompt)
                .put("max_tokens", tokens);
        return send("http://" + address + "/v1/completions", Map.of(), Json.bytes(body));
    }

    /** Calls a service at a node; a key makes the call non-idempotent. */
    public Result callAt(String address, String service, String key, String body) {
        Map<String, String> headers = key == null ? Map.of() : Map.of("Idempotent", "false", "Idempotency-Key", key);
        byte[] data = body.getBytes(StandardCharsets.UTF_8);
        return send("http://" + address + "/v1/services/" + service, headers, data);
    }

    private Result resolve(String query) {
        Result last = new Result(ResultCode.PEER_UNAVAILABLE.number(), "", Json.object());
        for (String address : addresses) {
            last = get("http://" + address + "/v1/resolve?" + query);
            if (last.isWhole() || last.code() < ResultCode.OVERLOADED.number()) {
                return last;
            }
        }
        return last;
    }

    private Result get(String url) {
        return answer(() ->
                calls.call("GET", url, headers(Map.of()), null, RESOLVE_TIMEOUT).join());
    }

    private Result send(String url, Map<String, String> extra, byte[] body) {
        return answer(() ->
                calls.call("POST", url, headers(extra), body, ANSWER_TIMEOUT).join());
    }

    private Result answer(java.util.function.Supplier<BufferingHttpClient.Response> call) {
        try {
            return parse(call.get());
        } catch (CompletionException e) {
            return new Result(QuetzalvaneException.codeOf(e).number(), "", Json.object());
        }
    }

    private Map<String, String> headers(Map<String, String> extra) {
        Map<String, String> all = new java.util.HashMap<>(extra);
        all.put("Authorization", "Bearer " + token);
        return all;
    }

    private static Result parse(BufferingHttpClient.Response a) {
        String text = new String(a.body(), StandardCharsets.UTF_8);
        if (text.startsWith("data: ")) {
            return parseStream(text);
        }
        JsonNode body = Json.parse(a.body());
        int code = a.isOk() ? 0 : body.path("code").asInt(ResultCode.INTERNAL.number());
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
