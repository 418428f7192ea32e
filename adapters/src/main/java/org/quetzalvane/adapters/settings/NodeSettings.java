package org.quetzalvane.adapters.settings;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;

import org.quetzalvane.core.model.DataCentre;

/**
 * Settings of one node, read once at start. Immutable.
 *
 * @param node identity of the node
 * @param cluster cluster that the node belongs to
 * @param listen addresses that the node listens on
 * @param platform base URLs of the platform's services
 * @param timing intervals and timeouts
 * @param limits limits of queues and requests
 * @param policy weights of the scheduling policy
 * @param log logging
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
    private static final List<SettingKey> KEY_DEFINITIONS = List.of(
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
            SettingKey.integer("timing.lease_millis", 20_000, 500, 120_000),
            SettingKey.integer("timing.poll_millis", 250, 20, 5_000),
            SettingKey.integer("timing.answer_millis", 2_000, 100, 3_000),
            SettingKey.integer("timing.drain_seconds", 300, 1, 3_600),
            SettingKey.integer("timing.snapshot_seconds", 3_600, 1, 86_400),
            SettingKey.integer("limits.queue_per_engine", 1_000, 1, 100_000),
            SettingKey.integer("limits.queue_per_caller", 200, 1, 100_000),
            SettingKey.integer("limits.body_bytes", 1_048_576, 1_024, 67_108_864),
            SettingKey.integer("limits.read_millis", 30_000, 100, 300_000),
            SettingKey.integer("limits.progress_millis", 5_000, 100, 300_000),
            SettingKey.integer("limits.request_seconds", 300, 1, 3_600),
            SettingKey.decimal("policy.batch_weight", 0.5, 0, 1),
            SettingKey.oneOf("log.level", "INFO", List.of("DEBUG", "INFO", "WARN", "ERROR")));

    /**
     * Identity of the node. Immutable.
     *
     * @param name unique name of the node
     * @param host name of the entry host in the host list
     * @param dataCentre data centre of the node
     */
    public record Node(String name, String host, DataCentre dataCentre) {}

    /**
     * Cluster that the node belongs to. Immutable.
     *
     * @param name name of the cluster
     * @param secret secret shared by the nodes of the cluster
     */
    public record Cluster(String name, String secret) {}

    /**
     * Addresses to listen on, {@code ip:port}. Immutable.
     *
     * @param callers address for callers
     * @param operators address for operators
     * @param peers address for other nodes
     */
    public record Listen(String callers, String operators, String peers) {}

    /**
     * Base URLs of the platform's services. Immutable.
     *
     * @param log base URL of the log service
     * @param hosts base URL of the host list
     */
    public record Platform(String log, String hosts) {}

    /**
     * Intervals and timeouts. Immutable.
     *
     * @param leaseDuration validity of a lease after its renewal
     * @param pollInterval interval between reads of the log and the host list
     * @param addressTtl validity of an address returned to a caller
     * @param drainTimeout maximum wait for running requests during a planned stop
     * @param snapshotInterval maximum time between configuration snapshots on the log
     */
    public record Timing(
            Duration leaseDuration,
            Duration pollInterval,
            Duration addressTtl,
            Duration drainTimeout,
            Duration snapshotInterval) {}

    /**
     * Limits of queues and requests. Immutable.
     *
     * @param queuePerEngine maximum number of requests queued for one engine
     * @param queuePerCaller maximum number of requests of one caller queued for one engine
     * @param bodyBytes maximum size of a request body, in bytes
     * @param readTimeout idle timeout while a request is read
     * @param progressTimeout maximum time without progress of a running response
     * @param requestTimeout maximum running time of a request
     */
    public record Limits(
            int queuePerEngine,
            int queuePerCaller,
            int bodyBytes,
            Duration readTimeout,
            Duration progressTimeout,
            Duration requestTimeout) {}

    /**
     * Weights of the scheduling policy. Immutable.
     *
     * @param batchWeight weight of batch efficiency against load stalls, from 0 to 1
     */
    public record Policy(double batchWeight) {}

    /**
     * Logging. Immutable.
     *
     * @param level minimum level that is logged: DEBUG, INFO, WARN or ERROR; events are logged at INFO
     */
    public record Log(String level) {}

    /**
     * Reads a settings file; fails with {@link org.quetzalvane.core.exc.SettingsException}, which lists all violations.
     */
    public static NodeSettings load(Path file) {
        Map<String, String> values = new SettingsReader(KEY_DEFINITIONS).read(file);
        return new NodeSettings(
                new Node(
                        values.get("node.name"),
                        values.get("node.host"),
                        new DataCentre(values.get("node.region"), values.get("node.data_centre"))),
                new Cluster(values.get("cluster.name"), values.get("cluster.secret")),
                new Listen(values.get("listen.callers"), values.get("listen.operators"), values.get("listen.peers")),
                new Platform(values.get("platform.log"), values.get("platform.hosts")),
                timing(values),
                limits(values),
                new Policy(Double.parseDouble(values.get("policy.batch_weight"))),
                new Log(values.get("log.level")));
    }

    /**
     * Returns one row of a documentation table per known key: path, default value or {@code required}, and allowed
     * values.
     */
    public static List<String> describeKeys() {
        return KEY_DEFINITIONS.stream()
                .map(k -> k.path() + " | " + (k.defaultValue() == null ? "required" : k.defaultValue()) + " | "
                        + k.allowed())
                .toList();
    }

    private static Timing timing(Map<String, String> values) {
        return new Timing(
                millis(values, "timing.lease_millis"),
                millis(values, "timing.poll_millis"),
                millis(values, "timing.answer_millis"),
                Duration.ofSeconds(Long.parseLong(values.get("timing.drain_seconds"))),
                Duration.ofSeconds(Long.parseLong(values.get("timing.snapshot_seconds"))));
    }

    private static Limits limits(Map<String, String> values) {
        return new Limits(
                Integer.parseInt(values.get("limits.queue_per_engine")),
                Integer.parseInt(values.get("limits.queue_per_caller")),
                Integer.parseInt(values.get("limits.body_bytes")),
                millis(values, "limits.read_millis"),
                millis(values, "limits.progress_millis"),
                Duration.ofSeconds(Long.parseLong(values.get("limits.request_seconds"))));
    }

    private static Duration millis(Map<String, String> values, String key) {
        return Duration.ofMillis(Long.parseLong(values.get(key)));
    }
}
