package org.quetzalvane.standins;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.quetzalvane.adapters.http.BufferingHttpClient;
import org.quetzalvane.adapters.http.HttpExchange;
import org.quetzalvane.adapters.http.JettyHttpServer;
import org.quetzalvane.adapters.http.Json;
import org.quetzalvane.adapters.http.ServerSentEventStream;
import org.quetzalvane.core.time.Scheduler;

/**
 * Stand-in for a model engine with adapter slots and streamed completions.
 *
 * <p>It loads weights from the weight store, rejects orders with outdated fencing tokens if configured to check them,
 * and records the completions that it ran. Unloading an adapter with running requests is recorded as a violation. Each
 * token is a function of prompt, adapter, version and index, so that a response can be verified. Thread-safe; the
 * monitor of this object guards its state, apart from the concurrent map of running completions.
 *
 * <p>Faults in addition to those of {@link Faults}: {@code wrong_echo} makes so many completions report another
 * version, {@code truncate} ends so many streams without the end mark, {@code stall} stops so many streams without
 * ending them, and {@code report_lag_ms} is the age of the reports. {@code POST /control/restart} empties the engine
 * and changes its instance.
 */
final class EngineStandIn {
    private static final int TOKEN_MILLIS = 10;
    private static final int STREAM_BUFFER_BYTES = 1 << 20;
    private static final Duration STORE_TIMEOUT = Duration.ofSeconds(30);
    private static final String COMPLETIONS = "/v1/completions";
    private static final String WRONG_ECHO = "wrong_echo";
    private static final String TRUNCATE = "truncate";
    private static final String STALL = "stall";
    private static final String REPORT_LAG_MILLIS = "report_lag_ms";

    private final Scheduler scheduler;
    private final BufferingHttpClient httpClient;
    private final String storeUrl;
    private final int slots;
    private final boolean checksFencing;
    private final Faults faults = new Faults();
    private final Map<String, Resident> residents = new TreeMap<>();
    private final Map<String, RunningCompletion> running = new ConcurrentHashMap<>();
    private final List<ObjectNode> ran = new ArrayList<>();
    private final List<String> violations = new ArrayList<>();
    private final TreeMap<Long, ObjectNode> reportHistory = new TreeMap<>();
    private String instance = UUID.randomUUID().toString();
    private long highestToken = -1;

    private static final class Resident {
        private boolean loading = true;
        private int runningRequests;
    }

    EngineStandIn(
            Scheduler scheduler, BufferingHttpClient httpClient, String storeUrl, int slots, boolean checksFencing) {
        this.scheduler = scheduler;
        this.httpClient = httpClient;
        this.storeUrl = storeUrl;
        this.slots = slots;
        this.checksFencing = checksFencing;
    }

    JettyHttpServer.Builder routes(JettyHttpServer.Builder b) {
        return faults.routes(b)
                .route("POST", "/v1/adapters/load", e -> order(e, this::load))
                .route("POST", "/v1/adapters/unload", e -> order(e, this::unload))
                .route("POST", "/v1/fence", e -> order(e, (x, n) -> x.respond(200, n)))
                .route("GET", "/v1/report", this::report)
                .route("POST", COMPLETIONS, this::complete)
                .route("DELETE", COMPLETIONS + "/", this::cancel)
                .route("POST", "/control/restart", this::restart)
                .route("GET", "/control/ran", this::ran);
    }

    // Orders

    /** Handles an order whose fencing token was accepted. */
    @FunctionalInterface
    private interface OrderHandler {
        void serve(HttpExchange exchange, JsonNode body);
    }

    private void order(HttpExchange exchange, OrderHandler handler) {
        if (faults.dropIfFaulty(exchange)) {
            return;
        }
        long fencingToken = Long.parseLong(exchange.header("Fencing-Number"));
        exchange.body().thenAccept(body -> {
            if (acceptsToken(fencingToken)) {
                handler.serve(exchange, Json.parse(body));
            } else {
                exchange.respond(409, Json.object().put("message", "fencing token " + fencingToken + " is outdated"));
            }
        });
    }

    private synchronized boolean acceptsToken(long fencingToken) {
        boolean accepted = !checksFencing || fencingToken >= highestToken;
        highestToken = Math.max(highestToken, fencingToken);
        return accepted;
    }

    private void load(HttpExchange exchange, JsonNode body) {
        String key = key(body);
        Resident r;
        synchronized (this) {
            if (residents.containsKey(key)) {
                exchange.respond(200, Json.object());
                return;
            }
            if (residents.size() >= slots) {
                exchange.respond(507, Json.object().put("message", "no free adapter slot"));
                return;
            }
            r = new Resident();
            residents.put(key, r);
        }
        httpClient
                .get(storeUrl + "/weights/" + body.path("weights").asText(), STORE_TIMEOUT)
                .whenComplete((a, failure) -> loaded(exchange, key, r, failure == null && a.isOk()));
    }

    private void loaded(HttpExchange exchange, String key, Resident r, boolean ok) {
        synchronized (this) {
            r.loading = false;
            if (!ok) {
                residents.remove(key, r);
            }
        }
        if (faults.consume(Faults.LOSE_RESPONSES)) {
            exchange.abort();
        } else if (ok) {
            exchange.respond(200, Json.object());
        } else {
            exchange.respond(502, Json.object().put("message", "weight store failed to load the adapter"));
        }
    }

    private void unload(HttpExchange exchange, JsonNode body) {
        synchronized (this) {
            Resident r = residents.remove(key(body));
            if (r != null && r.runningRequests > 0) {
                violations.add("evicted " + key(body) + " with " + r.runningRequests + " running");
            }
        }
        if (faults.consume(Faults.LOSE_RESPONSES)) {
            exchange.abort();
        } else {
            exchange.respond(200, Json.object());
        }
    }

    // Reports

    private void report(HttpExchange exchange) {
        if (faults.dropIfFaulty(exchange)) {
            return;
        }
        long lag = faults.value(REPORT_LAG_MILLIS);
        ObjectNode now = currentReport();
        if (lag == 0) {
            exchange.respond(200, now.put("age_ms", 0));
            return;
        }
        long millis = scheduler.nanoTime() / 1_000_000;
        synchronized (this) {
            reportHistory.put(millis, now);
            Map.Entry<Long, ObjectNode> old = reportHistory.floorEntry(millis - lag);
            Map.Entry<Long, ObjectNode> chosen = old == null ? reportHistory.firstEntry() : old;
            exchange.respond(200, chosen.getValue().deepCopy().put("age_ms", millis - chosen.getKey()));
        }
    }

    private synchronized ObjectNode currentReport() {
        ObjectNode node = Json.object().put("instance", instance);
        ArrayNode list = node.putArray("adapters");
        residents.forEach((key, r) -> {
            int at = key.lastIndexOf('@');
            list.addObject()
                    .put("adapter", key.substring(0, at))
                    .put("version", Integer.parseInt(key.substring(at + 1)))
                    .put("loading", r.loading)
                    .put("running", r.runningRequests);
        });
        return node;
    }

    private void restart(HttpExchange exchange) {
        List<RunningCompletion> interrupted = new ArrayList<>(running.values());
        synchronized (this) {
            residents.clear();
            instance = UUID.randomUUID().toString();
        }
        interrupted.forEach(RunningCompletion::abortStream);
        exchange.respond(200, Json.object());
    }

    private synchronized void ran(HttpExchange exchange) {
        ObjectNode response = Json.object();
        ArrayNode list = response.putArray("ran");
        ran.forEach(list::add);
        ArrayNode violationList = response.putArray("violations");
        violations.forEach(violationList::add);
        exchange.respond(200, response);
    }

    // Completions

    private void complete(HttpExchange exchange) {
        if (faults.dropIfFaulty(exchange)) {
            return;
        }
        exchange.body().thenAccept(body -> start(exchange, Json.parse(body)));
    }

    private void start(HttpExchange exchange, JsonNode body) {
        String key = key(body);
        String attempt = body.path("attempt").asText();
        Resident r;
        synchronized (this) {
            r = residents.get(key);
            if (r != null && !r.loading) {
                r.runningRequests++;
                ran.add(Json.object()
                        .put("attempt", attempt)
                        .put("adapter", key)
                        .put("prompt", body.path("prompt").asText()));
            }
        }
        if (r == null || r.loading) {
            exchange.respond(
                    404,
                    Json.object()
                            .put("not_run", true)
                            .put("attempt", attempt)
                            .put("message", key + " is not resident"));
            return;
        }
        RunningCompletion completion = new RunningCompletion(exchange, body, r);
        running.put(attempt, completion);
        completion.begin();
    }

    private void cancel(HttpExchange exchange) {
        RunningCompletion completion = running.get(exchange.path().substring(COMPLETIONS.length() + 1));
        if (completion != null) {
            completion.abortStream();
        }
        exchange.respond(200, Json.object().put("cancelled", completion != null));
    }

    private static String key(JsonNode body) {
        return body.path("adapter").asText() + "@" + body.path("version").asInt();
    }

    /** Returns the token that an engine generates at an index. */
    static String token(String prompt, String key, int index) {
        return key + "#" + Integer.toHexString((prompt + index).hashCode()) + " ";
    }

    /** One running completion, driven by a timer. Its monitor guards {@code finished}. */
    private final class RunningCompletion {
        private final JsonNode body;
        private final Resident resident;
        private final ServerSentEventStream stream;
        private final int first;
        private int index;
        private boolean finished;

        RunningCompletion(HttpExchange exchange, JsonNode body, Resident resident) {
            this.body = body;
            this.resident = resident;
            this.first = body.path("resume_from").asInt();
            this.index = first;
            this.stream = exchange.startEventStream(STREAM_BUFFER_BYTES, this::abortStream);
        }

        void begin() {
            int version = body.path("version").asInt() + (faults.consume(WRONG_ECHO) ? 1 : 0);
            stream.send(Json.object()
                    .put("attempt", body.path("attempt").asText())
                    .put("adapter", body.path("adapter").asText())
                    .put("version", version));
            scheduleNext();
        }

        private void scheduleNext() {
            long millis = TOKEN_MILLIS + faults.value(Faults.SLOW_MILLIS);
            scheduler.schedule(Duration.ofMillis(millis), this::step);
        }

        private void step() {
            synchronized (this) {
                if (finished) {
                    return;
                }
            }
            if (faults.consume(STALL)) {
                return;
            }
            if (index >= body.path("max_tokens").asInt()) {
                stream.send(Json.object().put("done", true).put("tokens", index));
                finish();
                stream.end();
                return;
            }
            if (index > first && faults.consume(TRUNCATE)) {
                finish();
                stream.end();
                return;
            }
            String text = token(body.path("prompt").asText(), key(body), index);
            stream.send(Json.object().put("index", index - first).put("text", text));
            index++;
            scheduleNext();
        }

        void abortStream() {
            if (finish()) {
                stream.abort();
            }
        }

        private boolean finish() {
            synchronized (this) {
                if (finished) {
                    return false;
                }
                finished = true;
            }
            running.remove(body.path("attempt").asText(), this);
            synchronized (EngineStandIn.this) {
                resident.runningRequests--;
            }
            return true;
        }
    }
}
