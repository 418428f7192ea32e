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
 * A model engine with adapter slots and streamed completions.
 *
 * <p>It loads weights from the weight store, refuses old fencing numbers when told to check them, keeps its own record
 * of what it ran, and notes every eviction of an adapter in use as a violation. Every token is a function of the
 * prompt, adapter, version and index, so that a reader can check an answer. Thread-safe; one monitor guards all state.
 *
 * <p>Faults beside the common ones: {@code restart} empties the engine, {@code wrong_echo} answers under another
 * version, {@code truncate} ends so many streams without the end mark, {@code stall} stops so many streams for good,
 * {@code report_lag_ms} makes reports old.
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
    private final BufferingHttpClient calls;
    private final String storeUrl;
    private final int slots;
    private final boolean checksFencing;
    private final Faults faults = new Faults();
    private final Map<String, Resident> residents = new TreeMap<>();
    private final Map<String, Generation> running = new ConcurrentHashMap<>();
    private final List<ObjectNode> ran = new ArrayList<>();
    private final List<String> violations = new ArrayList<>();
    private final TreeMap<Long, ObjectNode> reports = new TreeMap<>();
    private String instance = UUID.randomUUID().toString();
    private long highestFencing = -1;

    private static final class Resident {
        private boolean loading = true;
        private int users;
    }

    EngineStandIn(Scheduler scheduler, BufferingHttpClient calls, String storeUrl, int slots, boolean checksFencing) {
        this.scheduler = scheduler;
        this.calls = calls;
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

    /** Serves an order whose fencing number was accepted. */
    @FunctionalInterface
    private interface Order {
        void serve(HttpExchange e, JsonNode body);
    }

    private void order(HttpExchange e, Order order) {
        if (faults.dropped(e)) {
            return;
        }
        long fencingToken = Long.parseLong(e.header("Fencing-Number"));
        e.body().thenAccept(body -> {
            if (acceptsFencing(fencingToken)) {
                order.serve(e, Json.parse(body));
            } else {
                e.respond(409, Json.object().put("message", "fencing number " + fencingToken + " is old"));
            }
        });
    }

    private synchronized boolean acceptsFencing(long fencingToken) {
        boolean accepted = !checksFencing || fencingToken >= highestFencing;
        highestFencing = Math.max(highestFencing, fencingToken);
        return accepted;
    }

    private void load(HttpExchange e, JsonNode body) {
        String key = key(body);
        Resident r;
        synchronized (this) {
            if (residents.containsKey(key)) {
                e.respond(200, Json.object());
                return;
            }
            if (residents.size() >= slots) {
                e.respond(507, Json.object().put("message", "no free slot"));
                return;
            }
            r = new Resident();
            residents.put(key, r);
        }
        calls.get(storeUrl + "/weights/" + body.path("weights").asText(), STORE_TIMEOUT)
                .whenComplete((a, failure) -> loaded(e, key, r, failure == null && a.isOk()));
    }

    private void loaded(HttpExchange e, String key, Resident r, boolean ok) {
        synchronized (this) {
            r.loading = false;
            if (!ok) {
                residents.remove(key, r);
            }
        }
        if (faults.take(Faults.LOSE_ANSWERS)) {
            e.abort();
        } else if (ok) {
            e.respond(200, Json.object());
        } else {
            e.respond(502, Json.object().put("message", "the weight store failed"));
        }
    }

    private void unload(HttpExchange e, JsonNode body) {
        synchronized (this) {
            Resident r = residents.remove(key(body));
            if (r != null && r.users > 0) {
                violations.add("evicted " + key(body) + " with " + r.users + " running");
            }
        }
        if (faults.take(Faults.LOSE_ANSWERS)) {
            e.abort();
        } else {
            e.respond(200, Json.object());
        }
    }

    // Reports

    private void report(HttpExchange e) {
        if (faults.dropped(e)) {
            return;
        }
        long lag = faults.value(REPORT_LAG_MILLIS);
        ObjectNode now = snapshot();
        if (lag == 0) {
            e.respond(200, now.put("age_ms", 0));
            return;
        }
        long millis = scheduler.nanoTime() / 1_000_000;
        synchronized (this) {
            reports.put(millis, now);
            Map.Entry<Long, ObjectNode> old = reports.floorEntry(millis - lag);
            Map.Entry<Long, ObjectNode> chosen = old == null ? reports.firstEntry() : old;
            e.respond(200, chosen.getValue().deepCopy().put("age_ms", millis - chosen.getKey()));
        }
    }

    private synchronized ObjectNode snapshot() {
        ObjectNode node = Json.object().put("instance", instance);
        ArrayNode list = node.putArray("adapters");
        residents.forEach((key, r) -> {
            int at = key.lastIndexOf('@');
            list.addObject()
                    .put("adapter", key.substring(0, at))
                    .put("version", Integer.parseInt(key.substring(at + 1)))
                    .put("loading", r.loading)
                    .put("running", r.users);
        });
        return node;
    }

    private void restart(HttpExchange e) {
        List<Generation> cut = new ArrayList<>(running.values());
        synchronized (this) {
            residents.clear();
            instance = UUID.randomUUID().toString();
        }
        cut.forEach(Generation::cut);
        e.respond(200, Json.object());
    }

    private synchronized void ran(HttpExchange e) {
        ObjectNode answer = Json.object();
        ArrayNode list = answer.putArray("ran");
        ran.forEach(list::add);
        ArrayNode bad = answer.putArray("violations");
        violations.forEach(bad::add);
        e.respond(200, answer);
    }

    // Completions

    private void complete(HttpExchange e) {
        if (faults.dropped(e)) {
            return;
        }
        e.body().thenAccept(body -> start(e, Json.parse(body)));
    }

    private void start(HttpExchange e, JsonNode body) {
        String key = key(body);
        String attempt = body.path("attempt").asText();
        Resident r;
        synchronized (this) {
            r = residents.get(key);
            if (r != null && !r.loading) {
                r.users++;
                ran.add(Json.object()
                        .put("attempt", attempt)
                        .put("adapter", key)
                        .put("prompt", body.path("prompt").asText()));
            }
        }
        if (r == null || r.loading) {
            e.respond(
                    404,
                    Json.object()
                            .put("not_run", true)
                            .put("attempt", attempt)
                            .put("message", key + " is not resident"));
            return;
        }
        Generation g = new Generation(e, body, r);
        running.put(attempt, g);
        g.begin();
    }

    private void cancel(HttpExchange e) {
        Generation g = running.get(e.path().substring(COMPLETIONS.length() + 1));
        if (g != null) {
            g.cut();
        }
        e.respond(200, Json.object().put("cancelled", g != null));
    }

    private static String key(JsonNode body) {
        return body.path("adapter").asText() + "@" + body.path("version").asInt();
    }

    /** The token that an engine generates at an index. */
    static String token(String prompt, String key, int index) {
        return key + "#" + Integer.toHexString((prompt + index).hashCode()) + " ";
    }

    /** One running completion. Its own timer steps it; guarded by its monitor. */
    private final class Generation {
        private final JsonNode body;
        private final Resident resident;
        private final ServerSentEventStream stream;
        private final int first;
        private int index;
        private boolean over;

        Generation(HttpExchange e, JsonNode body, Resident resident) {
            this.body = body;
            this.resident = resident;
            this.first = body.path("resume_from").asInt();
            this.index = first;
            this.stream = e.startEventStream(STREAM_BUFFER_BYTES, this::cut);
        }

        void begin() {
            int version = body.path("version").asInt() + (faults.take(WRONG_ECHO) ? 1 : 0);
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
                if (over) {
                    return;
                }
            }
            if (faults.take(STALL)) {
                return;
            }
            if (index >= body.path("max_tokens").asInt()) {
                stream.send(Json.object().put("done", true).put("tokens", index));
                finish();
                stream.end();
                return;
            }
            if (index > first && faults.take(TRUNCATE)) {
                finish();
                stream.end();
                return;
            }
            String text = token(body.path("prompt").asText(), key(body), index);
            stream.send(Json.object().put("index", index - first).put("text", text));
            index++;
            scheduleNext();
        }

        void cut() {
            if (finish()) {
                stream.abort();
            }
        }

        private boolean finish() {
            synchronized (this) {
                if (over) {
                    return false;
                }
                over = true;
            }
            running.remove(body.path("attempt").asText(), this);
            synchronized (EngineStandIn.this) {
                resident.users--;
            }
            return true;
        }
    }
}
