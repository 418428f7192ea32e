package org.quetzalvane.standins.harness;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionException;
import java.util.stream.Collectors;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.quetzalvane.adapters.http.BufferingHttpClient;
import org.quetzalvane.adapters.http.Json;

/**
 * A small cluster of child processes on loopback: the platform's stand-ins, engines, a service and nodes.
 *
 * <p>Every process listens on a loopback address of its own in a subnet that was found free, so that ports never
 * clash. Closing ends all children, and so does the end of this process by a signal. Not thread-safe, but for that end.
 */
public final class LocalCluster implements AutoCloseable {
    public static final String REGION = "r1";
    public static final String BASE_MODEL = "base";

    private static final Duration START_LIMIT = Duration.ofSeconds(30);
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(3);
    private static final int PORT = 7000;
    private static final int CALLERS_PORT = 7001;
    private static final int OPERATORS_PORT = 7002;
    private static final int PEERS_PORT = 7003;

    private final ClusterBuilder settings;
    private final Path directory;
    private final Subnet subnet;
    private final BufferingHttpClient calls = BufferingHttpClient.start();
    private final Map<String, Child> children = new LinkedHashMap<>();
    private final Thread atExit = new Thread(this::endChildren, "end-children");
    private boolean ended;

    /** Starts a child process. */
    @FunctionalInterface
    private interface ChildStart {
        Child start() throws IOException;
    }

    LocalCluster(ClusterBuilder settings) throws IOException {
        this.settings = settings;
        this.directory = Files.createTempDirectory("quetzalvane-cluster");
        this.subnet = Subnet.free(PORT);
        Runtime.getRuntime().addShutdownHook(atExit);
    }

    public static ClusterBuilder builder() {
        return new ClusterBuilder();
    }

    // Public API

    /** Directory with the settings and the output of every process. */
    public Path directory() {
        return directory;
    }

    public Child child(String name) {
        return children.get(name);
    }

    /** Names of the nodes, {@code n1} and so on. */
    public List<String> nodes() {
        List<String> names = new ArrayList<>();
        for (int i = 1; i <= settings.nodes(); i++) {
            names.add("n" + i);
        }
        return names;
    }

    /** Starts a node, also again after it was ended, and does not wait for it. */
    public void startNode(String node) throws IOException {
        List<String> program = new ArrayList<>(Programs.node());
        program.addAll(List.of("--settings", writeSettings(node).toString()));
        add(node, () -> Child.java(node, directory, program));
    }

    /** Waits until a node is ready. */
    public void awaitReady(String node) {
        Await.until(node + " ready", START_LIMIT, () -> status("http://" + operators(node) + "/ready") == 200);
    }

    /** Publishes records through the operators' tool; fails when one is not in force on every live node. */
    public void publish(ObjectNode... records) throws IOException {
        int code = tryPublish(records);
        if (code != 0) {
            throw new IllegalStateException("publish ended with " + code + ", see " + directory);
        }
    }

    /** Publishes records through the operators' tool and returns its exit code. */
    public int tryPublish(ObjectNode... records) throws IOException {
        Path file = Files.createTempFile(directory, "records", ".jsonl");
        String lines = Arrays.stream(records).map(Json::text).collect(Collectors.joining("\n"));
        Files.writeString(file, lines, StandardCharsets.UTF_8);
        List<String> nodes = nodes().stream()
                .filter(n -> children.get(n).isAlive())
                .map(this::operators)
                .toList();
        return cli("publish", file.toString(), "--log", logUrl(), "--nodes", String.join(",", nodes));
    }

    /** Runs the operators' tool and returns its exit code; its output is appended to {@code cli.log}. */
    public int cli(String... arguments) throws IOException {
        List<String> program = new ArrayList<>(Programs.cli());
        program.addAll(List.of(arguments));
        return add("cli", () -> Child.java("cli", directory, program)).waitForExit();
    }

    /** Publishes the base model, the engines, the service and the store's limits. */
    public void publishEndpoints() throws IOException {
        List<ObjectNode> records = new ArrayList<>();
        records.add(Records.baseModel(BASE_MODEL));
        records.add(Records.limits(REGION, 20, 8));
        for (int i = 1; i <= settings.engines(); i++) {
            records.add(engineRecord("e" + i));
        }
        ObjectNode service = Json.object()
                .put("url", serviceUrl())
                .put("host", "service-host")
                .put("dataCentre", REGION + "/a");
        records.add(Records.record("service", "booking", 0, service));
        publish(records.toArray(new ObjectNode[0]));
    }

    /**
     * Publishes the endpoints, a caller that may use every adapter and the service, and adapters with a version 1 each;
     * waits until every engine has an owner.
     */
    public void publishAll(String token, String... adapters) throws IOException {
        publishEndpoints();
        List<ObjectNode> records = new ArrayList<>();
        records.add(Records.caller("angler", token));
        records.add(Records.rule("adapters", "angler", "adapter:*"));
        records.add(Records.rule("bookings", "angler", "service:booking"));
        for (String adapter : adapters) {
            records.add(Records.adapter(adapter, BASE_MODEL));
            records.add(Records.version(adapter, 1));
        }
        publish(records.toArray(new ObjectNode[0]));
        awaitOwners();
    }

    /** A caller that asks the live nodes. */
    public CallerClient caller(String token) {
        List<String> addresses = nodes().stream()
                .filter(n -> children.get(n).isAlive())
                .map(this::callers)
                .toList();
        return new CallerClient(calls, token, addresses);
    }

    /** Switches a fault of a stand-in. */
    public void fault(String url, String name, long value) {
        control(url + "/control/fault", Json.object().put("name", name).put("value", value));
    }

    /** Posts to a stand-in's control interface. */
    public void control(String url, ObjectNode body) {
        calls.call("POST", url, Map.of(), Json.bytes(body), CALL_TIMEOUT).join();
    }

    /** Appends raw data to a stream of the log. */
    public void append(String stream, String data) {
        byte[] bytes = data.getBytes(StandardCharsets.UTF_8);
        calls.call("POST", logUrl() + "/streams/" + stream, Map.of(), bytes, CALL_TIMEOUT)
                .join();
    }

    /** Reads JSON from a stand-in or from a node's operators' port. */
    public JsonNode get(String url) {
        return Json.parse(calls.get(url, CALL_TIMEOUT).join().body());
    }

    /** Status of a node as its operators' port gives it. */
    public JsonNode nodeStatus(String node) {
        return get("http://" + operators(node) + "/status");
    }

    /** Waits until every engine has an owner that has read the engine's own list. */
    public void awaitOwners() {
        Await.until("owners", START_LIMIT, () -> ownedEngines() == settings.engines());
    }

    public String callers(String node) {
        return nodeIp(node) + ":" + CALLERS_PORT;
    }

    public String operators(String node) {
        return nodeIp(node) + ":" + OPERATORS_PORT;
    }

    public String peers(String node) {
        return nodeIp(node) + ":" + PEERS_PORT;
    }

    public String logUrl() {
        return "http://" + address(2);
    }

    public String hostsUrl() {
        return "http://" + address(3);
    }

    public String storeUrl() {
        return "http://" + address(4);
    }

    public String serviceUrl() {
        return "http://" + address(5);
    }

    public String engineUrl(String engine) {
        return "http://" + address(100 + number(engine));
    }

    @Override
    public void close() {
        endChildren();
        removeHook();
        try {
            calls.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    // Helpers

    private Child add(String name, ChildStart start) throws IOException {
        synchronized (children) {
            if (ended) {
                throw new IllegalStateException("the cluster is closed");
            }
            Child child = start.start();
            children.put(name, child);
            return child;
        }
    }

    private void endChildren() {
        synchronized (children) {
            ended = true;
            children.values().forEach(Child::close);
        }
    }

    private void removeHook() {
        try {
            Runtime.getRuntime().removeShutdownHook(atExit);
        } catch (IllegalStateException e) {
            Thread.onSpinWait();
        }
    }

    void open() throws IOException {
        standIn("log", logUrl());
        standIn("hosts", hostsUrl());
        standIn("store", storeUrl());
        standIn("service", serviceUrl());
        for (int i = 1; i <= settings.engines(); i++) {
            startEngine("e" + i);
        }
        for (Map.Entry<String, String> e : standInUrls().entrySet()) {
            Await.until(e.getKey() + " serves", START_LIMIT, () -> status(e.getValue()) > 0);
        }
        for (String node : nodes()) {
            control(
                    hostsUrl() + "/control/host",
                    Json.object().put("host", host(node)).put("state", "live"));
            startNode(node);
        }
        nodes().forEach(this::awaitReady);
    }

    private void startEngine(String engine) throws IOException {
        List<String> options =
                new ArrayList<>(List.of("--store", storeUrl(), "--slots", Integer.toString(settings.slots())));
        if (settings.checksFencing()) {
            options.add("--checks-fencing");
        }
        standIn("engine", engine, engineUrl(engine), options);
    }

    private void standIn(String kind, String url) throws IOException {
        standIn(kind, kind, url, List.of());
    }

    private void standIn(String kind, String name, String url, List<String> options) throws IOException {
        List<String> program = new ArrayList<>(Programs.standIn());
        program.addAll(List.of(kind, "--listen", url.substring("http://".length())));
        program.addAll(options);
        add(name, () -> Child.java(name, directory, program));
    }

    private Map<String, String> standInUrls() {
        Map<String, String> urls = new LinkedHashMap<>();
        urls.put("log", logUrl());
        urls.put("hosts", hostsUrl());
        urls.put("store", storeUrl());
        urls.put("service", serviceUrl());
        for (int i = 1; i <= settings.engines(); i++) {
            urls.put("e" + i, engineUrl("e" + i));
        }
        return urls;
    }

    private ObjectNode engineRecord(String engine) {
        ObjectNode value = Json.object()
                .put("url", engineUrl(engine))
                .put("host", "host-" + engine)
                .put("dataCentre", REGION + "/a")
                .put("baseModel", BASE_MODEL)
                .put("slots", settings.slots())
                .put("batchSize", 8)
                .put("checksFencing", settings.checksFencing());
        return Records.record("engine", engine, 0, value);
    }

    private Path writeSettings(String node) throws IOException {
        String toml = String.join(
                "\n",
                "[node]",
                "name = \"" + node + "\"",
                "host = \"" + host(node) + "\"",
                "region = \"" + REGION + "\"",
                "data_centre = \"a\"",
                "[cluster]",
                "name = \"demo\"",
                "secret = \"a secret of the demonstration\"",
                "[listen]",
                "callers = \"" + callers(node) + "\"",
                "operators = \"" + operators(node) + "\"",
                "peers = \"" + peers(node) + "\"",
                "[platform]",
                "log = \"" + logUrl() + "\"",
                "hosts = \"" + hostsUrl() + "\"",
                "[timing]",
                "lease_millis = " + settings.leaseMillis(),
                "poll_millis = 100",
                "snapshot_seconds = " + settings.snapshotSeconds(),
                "answer_millis = 1000",
                "[limits]",
                "read_millis = " + settings.readMillis(),
                "");
        return Files.writeString(directory.resolve(node + ".toml"), toml);
    }

    private int ownedEngines() {
        int owned = 0;
        for (String node : nodes()) {
            if (children.get(node).isAlive()) {
                owned += nodeStatus(node).path("engines").size();
            }
        }
        return owned;
    }

    private int status(String url) {
        try {
            return calls.get(url, CALL_TIMEOUT).join().status();
        } catch (CompletionException e) {
            return -1;
        }
    }

    public String host(String node) {
        return "entry-" + node;
    }

    private String nodeIp(String node) {
        return subnet.ip(10 + number(node));
    }

    private String address(int last) {
        return subnet.ip(last) + ":" + PORT;
    }

    private static int number(String name) {
        return Integer.parseInt(name.substring(1));
    }
}
