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
 * <p>It loads weights from the weight store, rejects orders with a fencing token below the highest one seen if started
 * with {@code --checks-fencing}, and records the completions that it started. Unloading an adapter with running
 * requests is recorded as a violation. Each generated token is a function of prompt, adapter, version and index, so
 * that a response can be verified. Thread-safe: the state is guarded by this object, apart from the concurrent map of
 * running completions.
 *
 * <p>Faults in addition to those of {@link Faults}, where N is the value of the fault: the next N completions report
 * another version ({@code wrong_echo}), end without the end mark after at least one token ({@code truncate}), or stop
 * without ending ({@code stall}, also in the middle of a stream). With {@code report_lag_ms}, a report is the newest
 * one that is at least N ms old, or else the oldest recorded.
 *
 * <p>{@code POST /control/restart} simulates a restart: no adapter is resident, running completions are aborted and the
 * instance id changes; the highest fencing token is kept.
 */
final class EngineStandIn {
    private static final int MILLIS_PER_TOKEN = 10;
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
    private final List<ObjectNode> startedCompletions = new ArrayList<>();
    private final List<String> violations = new ArrayList<>();
    private final TreeMap<Long, ObjectNode> reportHistory = new TreeMap<>();
    private String instance = UUID.randomUUID().toString();
    private long highestFencingToken = -1;

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
                .route("GET", "/control/ran", this::listStartedCompletions);
    }

    // Orders

    /** Handles an order whose fencing token was accepted. */
    @FunctionalInterface
    private interface OrderHandler {
        void serve(HttpExchange exchange, JsonNode body);
    }

    private void order(HttpExchange exchange, OrderHandler handler) {
        if (faults.dropOnFault(exchange)) {
            return;
        }
        long fencingToken = Long.parseLong(exchange.header("Fencing-Number"));
        exchange.body().thenAccept(body -> {
            if (acceptsFencingToken(fencingToken)) {
                handler.serve(exchange, Json.parse(body));
            } else {
                exchange.respond(409, Json.object().put("message", "fencing token " + fencingToken + " is outdated"));
            }
        });
    }

    private synchronized boolean acceptsFencingToken(long fencingToken) {
        boolean accepted = !checksFencing || fencingToken >= highestFencingToken;
        highestFencingToken = Math.max(highestFencingToken, fencingToken);
        return accepted;
    }

    private void load(HttpExchange exchange, JsonNode body) {
        String key = versionKey(body);
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
                .whenComplete((a, failure) -> finishLoad(exchange, key, r, failure == null && a.isOk()));
    }

    private void finishLoad(HttpExchange exchange, String key, Resident r, boolean ok) {
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
            Resident r = residents.remove(versionKey(body));
            if (r != null && r.runningRequests > 0) {
                violations.add("evicted " + versionKey(body) + " with " + r.runningRequests + " running");
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
        if (faults.dropOnFault(exchange)) {
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

    private synchronized void listStartedCompletions(HttpExchange exchange) {
        ObjectNode response = Json.object();
        ArrayNode list = response.putArray("ran");
        startedCompletions.forEach(list::add);
        ArrayNode violationList = response.putArray("violations");
        violations.forEach(violationList::add);
        exchange.respond(200, response);
    }

    // Completions

    private void complete(HttpExchange exchange) {
        if (faults.dropOnFault(exchange)) {
            return;
        }
        exchange.body().thenAccept(body -> start(exchange, Json.parse(body)));
    }

    private void start(HttpExchange exchange, JsonNode body) {
        String key = versionKey(body);
        String attempt = body.path("attempt").asText();
        Resident r;
        synchronized (this) {
            r = residents.get(key);
            if (r != null && !r.loading) {
                r.runningRequests++;
                startedCompletions.add(Json.object()
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

    private static String versionKey(JsonNode body) {
        return body.path("adapter").asText() + "@" + body.path("version").asInt();
    }

    /** Returns the token that an engine generates for a prompt at an index. */
    static String generatedToken(String prompt, String key, int index) {
        return key + "#" + Integer.toHexString((prompt + index).hashCode()) + " ";
    }

    /** One running completion, driven by a timer; {@code finished} is guarded by this object. */
    private final class RunningCompletion {
        private final JsonNode body;
        private final Resident resident;
        private final ServerSentEventStream stream;
        private final int resumeFrom;
        private int index;
        private boolean finished;

        RunningCompletion(HttpExchange exchange, JsonNode body, Resident resident) {
            this.body = body;
            this.resident = resident;
            this.resumeFrom = body.path("resume_from").asInt();
            this.index = resumeFrom;
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
            long millis = MILLIS_PER_TOKEN + faults.value(Faults.SLOW_MILLIS);
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
            if (index > resumeFrom && faults.consume(TRUNCATE)) {
                finish();
                stream.end();
                return;
            }
            String text = generatedToken(body.path("prompt").asText(), versionKey(body), index);
            stream.send(Json.object().put("index", index - resumeFrom).put("text", text));
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
