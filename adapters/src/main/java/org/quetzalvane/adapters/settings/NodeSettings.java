package org.quetzalvane.adapters.settings;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;

import org.quetzalvane.core.model.DataCentre;

/**
 * Settings of one node, read once at start. Immutable.
 *
 * @param node who the node is
 * @param cluster which nodes it talks to
 * @param listen where it listens
 * @param platform where the platform's services are
 * @param timing intervals
 * @param limits bounds on what it takes in
 * @param policy weights of the decisions
 * @param log what is logged
 */
public record NodeSettings(
        Node node,
        Cluster cluster,
        Listen listen,
        Platform platform,
        Timing timing,
        Limits limits,
        Policy policy,
        Log log) {
    private static final List<SettingKey> KEYS = List.of(
            SettingKey.name("node.name"),
            SettingKey.name("node.host"),
            SettingKey.name("node.region"),
            SettingKey.name("node.data_centre"),
            SettingKey.name("cluster.name"),
            SettingKey.secret("cluster.secret"),
            SettingKey.address("listen.callers"),
            SettingKey.address("listen.operators"),
            SettingKey.address("listen.peers"),
            SettingKey.url("platform.log"),
            SettingKey.url("platform.hosts"),
            SettingKey.whole("timing.lease_millis", 20_000, 500, 120_000),
            SettingKey.whole("timing.poll_millis", 250, 20, 5_000),
            SettingKey.whole("timing.answer_millis", 2_000, 100, 3_000),
            SettingKey.whole("timing.drain_seconds", 300, 1, 3_600),
            SettingKey.whole("timing.snapshot_seconds", 3_600, 1, 86_400),
            SettingKey.whole("limits.queue_per_engine", 1_000, 1, 100_000),
            SettingKey.whole("limits.queue_per_caller", 200, 1, 100_000),
            SettingKey.whole("limits.body_bytes", 1_048_576, 1_024, 67_108_864),
            SettingKey.whole("limits.read_millis", 30_000, 100, 300_000),
            SettingKey.whole("limits.progress_millis", 5_000, 100, 300_000),
            SettingKey.whole("limits.request_seconds", 300, 1, 3_600),
            SettingKey.decimal("policy.batch_weight", 0.5, 0, 1),
            SettingKey.oneOf("log.level", "INFO", List.of("DEBUG", "INFO", "WARN", "ERROR")));

    /**
     * Who the node is. Immutable.
     *
     * @param name unique name
     * @param host entry host, as the host list names it
     * @param dataCentre data centre it runs in
     */
    public record Node(String name, String host, DataCentre dataCentre) {}

    /**
     * Which nodes it talks to. Immutable.
     *
     * @param name name of the cluster
     * @param secret secret shared by the cluster's nodes
     */
    public record Cluster(String name, String secret) {}

    /**
     * Addresses to listen on, {@code ip:port}. Immutable.
     *
     * @param callers for callers
     * @param operators for operators
     * @param peers for other nodes
     */
    public record Listen(String callers, String operators, String peers) {}

    /**
     * Base URLs of the platform's services. Immutable.
     *
     * @param log log service
     * @param hosts host list
     */
    public record Platform(String log, String hosts) {}

    /**
     * Intervals. Immutable.
     *
     * @param leaseDuration how long a lease renewal holds
     * @param pollInterval pause between reads of the log and the host list
     * @param addressTtl lifetime of an address answer
     * @param drainTimeout longest wait for running requests at a planned stop
     * @param snapshotInterval longest time without a snapshot of the configuration on the log
     */
    public record Timing(
            Duration leaseDuration,
            Duration pollInterval,
            Duration addressTtl,
            Duration drainTimeout,
            Duration snapshotInterval) {}

    /**
     * Bounds on what a node takes in. Immutable.
     *
     * @param queuePerEngine requests that may wait at one engine
     * @param queuePerCaller requests of one caller that may wait at one engine
     * @param bodyBytes longest request body, in bytes
     * @param readTimeout longest pause while a request is read
     * @param progressTimeout longest silence of a running answer
     * @param requestTimeout longest permitted running time of a request
     */
    public record Limits(
            int queuePerEngine,
            int queuePerCaller,
            int bodyBytes,
            Duration readTimeout,
            Duration progressTimeout,
            Duration requestTimeout) {}

    /**
     * Weights of the decisions. Immutable.
     *
     * @param batchWeight weight of batch efficiency against load stalls, from 0 to 1
     */
    public record Policy(double batchWeight) {}

    /**
     * What is logged. Immutable.
     *
     * @param level lowest level that is logged: DEBUG, INFO, WARN or ERROR; events are logged at INFO
     */
    public record Log(String level) {}

    /** Reads a file; fails with {@link org.quetzalvane.core.exc.SettingsException}, which lists every fault. */
    public static NodeSettings load(Path file) {
        Map<String, String> v = new SettingsReader(KEYS).read(file);
        return new NodeSettings(
                new Node(
                        v.get("node.name"),
                        v.get("node.host"),
                        new DataCentre(v.get("node.region"), v.get("node.data_centre"))),
                new Cluster(v.get("cluster.name"), v.get("cluster.secret")),
                new Listen(v.get("listen.callers"), v.get("listen.operators"), v.get("listen.peers")),
                new Platform(v.get("platform.log"), v.get("platform.hosts")),
                timing(v),
                limits(v),
                new Policy(Double.parseDouble(v.get("policy.batch_weight"))),
                new Log(v.get("log.level")));
    }

    /** Every known key with its default and its allowed values, for documents. */
    public static List<String> describeKeys() {
        return KEYS.stream()
                .map(k -> k.path() + " | " + (k.missing() == null ? "required" : k.missing()) + " | " + k.allowed())
                .toList();
    }

    private static Timing timing(Map<String, String> v) {
        return new Timing(
                millis(v, "timing.lease_millis"),
                millis(v, "timing.poll_millis"),
                millis(v, "timing.answer_millis"),
                Duration.ofSeconds(Long.parseLong(v.get("timing.drain_seconds"))),
                Duration.ofSeconds(Long.parseLong(v.get("timing.snapshot_seconds"))));
    }

    private static Limits limits(Map<String, String> v) {
        return new Limits(
                Integer.parseInt(v.get("limits.queue_per_engine")),
                Integer.parseInt(v.get("limits.queue_per_caller")),
                Integer.parseInt(v.get("limits.body_bytes")),
                millis(v, "limits.read_millis"),
                millis(v, "limits.progress_millis"),
                Duration.ofSeconds(Long.parseLong(v.get("limits.request_seconds"))));
    }

    private static Duration millis(Map<String, String> v, String key) {
        return Duration.ofMillis(Long.parseLong(v.get(key)));
    }
}
