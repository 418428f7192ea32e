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
 * A cluster of child processes on loopback: stand-ins of the platform, engines, a service, and nodes.
 *
 * <p>Every process listens on its own address of a random loopback subnet, so that port conflicts are unlikely.
 * {@link #close} kills all child processes, and so does a shutdown hook when this process is terminated by a signal.
 * Not thread-safe, except for that hook.
 */
public final class LocalCluster implements AutoCloseable {
    public static final String REGION = "r1";
    public static final String BASE_MODEL = "base";

    private static final Duration START_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(3);
    private static final int STAND_IN_PORT = 7000;
    private static final int CALLERS_PORT = 7001;
    private static final int OPERATORS_PORT = 7002;
    private static final int PEERS_PORT = 7003;
    private static final int LOG_OCTET = 2;
    private static final int HOSTS_OCTET = 3;
    private static final int STORE_OCTET = 4;
    private static final int SERVICE_OCTET = 5;
    /** Last octet of node n1 less 1. */
    private static final int NODE_OCTET_BASE = 10;
    /** Last octet of engine e1 less 1. */
    private static final int ENGINE_OCTET_BASE = 100;

    private final ClusterBuilder settings;
    private final Path directory;
    private final LoopbackSubnet subnet;
    private final BufferingHttpClient httpClient = BufferingHttpClient.start();
    private final Map<String, ChildProcess> children = new LinkedHashMap<>();
    private final Thread shutdownHook = new Thread(this::stopChildren, "end-children");
    private boolean closed;

    /** Starts a child process. */
    @FunctionalInterface
    private interface ChildStarter {
        ChildProcess start() throws IOException;
    }

    LocalCluster(ClusterBuilder settings) throws IOException {
        this.settings = settings;
        this.directory = Files.createTempDirectory("quetzalvane-cluster");
        this.subnet = LoopbackSubnet.findUnused(STAND_IN_PORT);
        Runtime.getRuntime().addShutdownHook(shutdownHook);
    }

    public static ClusterBuilder builder() {
        return new ClusterBuilder();
    }

    /** Returns the directory with the settings and the output of every process. */
    public Path directory() {
        return directory;
    }

    public ChildProcess child(String name) {
        return children.get(name);
    }

    /** Returns the names of the nodes, {@code n1} and so on. */
    public List<String> nodes() {
        List<String> names = new ArrayList<>();
        for (int i = 1; i <= settings.nodes(); i++) {
            names.add("n" + i);
        }
        return names;
    }

    /** Starts or restarts a node without waiting for it to be ready. */
    public void startNode(String node) throws IOException {
        List<String> program = new ArrayList<>(ProgramCommands.node());
        program.addAll(List.of("--settings", writeSettings(node).toString()));
        startChild(node, () -> ChildProcess.startJava(node, directory, program));
    }

    /** Waits until a node is ready. */
    public void awaitReady(String node) {
        Polling.waitUntil(
                node + " is ready",
                START_TIMEOUT,
                () -> httpStatus("http://" + operatorAddress(node) + "/ready") == 200);
    }

    /** Publishes records with the command-line client; fails unless each is in force on every live node. */
    public void publish(ObjectNode... records) throws IOException {
        int code = tryPublish(records);
        if (code != 0) {
            throw new IllegalStateException("publish exited with code " + code + ", see " + directory);
        }
    }

    /** Publishes records with the command-line client and returns its exit code. */
    public int tryPublish(ObjectNode... records) throws IOException {
        Path file = Files.createTempFile(directory, "records", ".jsonl");
        String lines = Arrays.stream(records).map(Json::text).collect(Collectors.joining("\n"));
        Files.writeString(file, lines, StandardCharsets.UTF_8);
        List<String> nodes = nodes().stream()
                .filter(n -> children.get(n).isAlive())
                .map(this::operatorAddress)
                .toList();
        return cli("publish", file.toString(), "--log", logUrl(), "--nodes", String.join(",", nodes));
    }

    /** Runs the command-line client and returns its exit code; its output is appended to {@code cli.log}. */
    public int cli(String... arguments) throws IOException {
        List<String> program = new ArrayList<>(ProgramCommands.cli());
        program.addAll(List.of(arguments));
        return startChild("cli", () -> ChildProcess.startJava("cli", directory, program))
                .waitForExit();
    }

    /** Publishes the base model, the engines, the service and the limits of the weight store. */
    public void publishEndpoints() throws IOException {
        List<ObjectNode> records = new ArrayList<>();
        records.add(ConfigRecords.baseModel(BASE_MODEL));
        records.add(ConfigRecords.loadLimits(REGION, 20, 8));
        for (int i = 1; i <= settings.engines(); i++) {
            records.add(engineRecord("e" + i));
        }
        ObjectNode service = Json.object()
                .put("url", serviceUrl())
                .put("host", "service-host")
                .put("dataCentre", REGION + "/a");
        records.add(ConfigRecords.record("service", "booking", 0, service));
        publish(records.toArray(new ObjectNode[0]));
    }

    /**
     * Publishes the endpoints, a caller with access to every adapter and the service, and version 1 of each given
     * adapter, and waits until every engine has an owner.
     */
    public void publishEndpointsAndAdapters(String token, String... adapters) throws IOException {
        publishEndpoints();
        List<ObjectNode> records = new ArrayList<>();
        records.add(ConfigRecords.caller("angler", token));
        records.add(ConfigRecords.accessRule("adapters", "angler", "adapter:*"));
        records.add(ConfigRecords.accessRule("bookings", "angler", "service:booking"));
        for (String adapter : adapters) {
            records.add(ConfigRecords.adapter(adapter, BASE_MODEL));
            records.add(ConfigRecords.adapterVersion(adapter, 1));
        }
        publish(records.toArray(new ObjectNode[0]));
        awaitOwners();
    }

    /** Returns a client that resolves addresses at the live nodes. */
    public CallerClient caller(String token) {
        List<String> addresses = nodes().stream()
                .filter(n -> children.get(n).isAlive())
                .map(this::callerAddress)
                .toList();
        return new CallerClient(httpClient, token, addresses);
    }

    /** Sets a fault of a stand-in; a value of 0 turns it off. */
    public void setFault(String url, String name, long value) {
        control(url + "/control/fault", Json.object().put("name", name).put("value", value));
    }

    /** Posts to the control interface of a stand-in. */
    public void control(String url, ObjectNode body) {
        httpClient.call("POST", url, Map.of(), Json.bytes(body), CALL_TIMEOUT).join();
    }

    /** Appends raw data to a stream of the log service. */
    public void append(String stream, String data) {
        byte[] bytes = data.getBytes(StandardCharsets.UTF_8);
        httpClient
                .call("POST", logUrl() + "/streams/" + stream, Map.of(), bytes, CALL_TIMEOUT)
                .join();
    }

    /** Reads JSON from a stand-in or from the operator port of a node. */
    public JsonNode get(String url) {
        return Json.parse(httpClient.get(url, CALL_TIMEOUT).join().body());
    }

    /** Returns the status of a node from its operator port. */
    public JsonNode nodeStatus(String node) {
        return get("http://" + operatorAddress(node) + "/status");
    }

    /** Waits until the live nodes together own as many engines as the cluster has. */
    public void awaitOwners() {
        Polling.waitUntil("every engine has an owner", START_TIMEOUT, () -> ownedEngines() == settings.engines());
    }

    public String callerAddress(String node) {
        return nodeIp(node) + ":" + CALLERS_PORT;
    }

    public String operatorAddress(String node) {
        return nodeIp(node) + ":" + OPERATORS_PORT;
    }

    public String peerAddress(String node) {
        return nodeIp(node) + ":" + PEERS_PORT;
    }

    public String logUrl() {
        return "http://" + address(LOG_OCTET);
    }

    public String hostsUrl() {
        return "http://" + address(HOSTS_OCTET);
    }

    public String storeUrl() {
        return "http://" + address(STORE_OCTET);
    }

    public String serviceUrl() {
        return "http://" + address(SERVICE_OCTET);
    }

    public String engineUrl(String engine) {
        return "http://" + address(ENGINE_OCTET_BASE + number(engine));
    }

    @Override
    public void close() {
        stopChildren();
        removeShutdownHook();
        try {
            httpClient.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private ChildProcess startChild(String name, ChildStarter start) throws IOException {
        synchronized (children) {
            if (closed) {
                throw new IllegalStateException("cluster is closed");
            }
            ChildProcess child = start.start();
            children.put(name, child);
            return child;
        }
    }

    private void stopChildren() {
        synchronized (children) {
            closed = true;
            children.values().forEach(ChildProcess::close);
        }
    }

    private void removeShutdownHook() {
        try {
            Runtime.getRuntime().removeShutdownHook(shutdownHook);
        } catch (IllegalStateException e) {
            // the JVM is shutting down, and the hook has run or runs now
            Thread.onSpinWait();
        }
    }

    void open() throws IOException {
        startStandIn("log", logUrl());
        startStandIn("hosts", hostsUrl());
        startStandIn("store", storeUrl());
        startStandIn("service", serviceUrl());
        for (int i = 1; i <= settings.engines(); i++) {
            startEngine("e" + i);
        }
        for (Map.Entry<String, String> e : standInUrls().entrySet()) {
            Polling.waitUntil(e.getKey() + " responds", START_TIMEOUT, () -> httpStatus(e.getValue()) > 0);
        }
        for (String node : nodes()) {
            control(
                    hostsUrl() + "/control/host",
                    Json.object().put("host", entryHostName(node)).put("state", "live"));
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
        startStandIn("engine", engine, engineUrl(engine), options);
    }

    private void startStandIn(String kind, String url) throws IOException {
        startStandIn(kind, kind, url, List.of());
    }

    private void startStandIn(String kind, String name, String url, List<String> options) throws IOException {
        List<String> program = new ArrayList<>(ProgramCommands.standIn());
        program.addAll(List.of(kind, "--listen", url.substring("http://".length())));
        program.addAll(options);
        startChild(name, () -> ChildProcess.startJava(name, directory, program));
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
        return ConfigRecords.record("engine", engine, 0, value);
    }

    private Path writeSettings(String node) throws IOException {
        String toml = String.join(
                "\n",
                "[node]",
                "name = \"" + node + "\"",
                "host = \"" + entryHostName(node) + "\"",
                "region = \"" + REGION + "\"",
                "data_centre = \"a\"",
                "[cluster]",
                "name = \"demo\"",
                "secret = \"a secret of the demonstration\"",
                "[listen]",
                "callers = \"" + callerAddress(node) + "\"",
                "operators = \"" + operatorAddress(node) + "\"",
                "peers = \"" + peerAddress(node) + "\"",
                "[platform]",
                "log = \"" + logUrl() + "\"",
                "hosts = \"" + hostsUrl() + "\"",
                "[timing]",
                "lease_millis = " + settings.leaseMillis(),
                "poll_millis = 100",
                "snapshot_seconds = " + settings.snapshotIntervalSeconds(),
                "answer_millis = 1000",
                "[limits]",
                "read_millis = " + settings.readTimeoutMillis(),
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

    /** Returns the HTTP status, or -1 if there is no response. */
    private int httpStatus(String url) {
        try {
            return httpClient.get(url, CALL_TIMEOUT).join().status();
        } catch (CompletionException e) {
            return -1;
        }
    }

    /** Returns the name of a node's entry host in the host list. */
    public String entryHostName(String node) {
        return "entry-" + node;
    }

    private String nodeIp(String node) {
        return subnet.ip(NODE_OCTET_BASE + number(node));
    }

    private String address(int lastOctet) {
        return subnet.ip(lastOctet) + ":" + STAND_IN_PORT;
    }

    private static int number(String name) {
        return Integer.parseInt(name.substring(1));
    }
}
