package org.quetzalvane.adapters.settings;

import java.io.IOException;
import java.nio.file.Path;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.exc.QuetzalvaneException;
import org.quetzalvane.core.model.DataCentre;

/**
 * Settings of one node, read once at start. Immutable.
 *
 * @param node who the node is
 * @param cluster which nodes it talks to
 * @param listen where it listens
 * @param platform where the platform's services are
 * @param timing intervals
 */
public record NodeSettings(Node node, Cluster cluster, Listen listen, Platform platform, Timing timing) {

    /**
     * Who the node is. Immutable.
     *
     * @param name unique name
     * @param host entry host, as the host list names it
     * @param region region it runs in
     * @param dataCentre data centre it runs in
     */
    public record Node(String name, String host, String region, String dataCentre) {

        public DataCentre place() {
            return new DataCentre(region, dataCentre);
        }
    }

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
     * Intervals in milliseconds. Immutable.
     *
     * @param leaseMillis how long a lease renewal holds
     * @param pollMillis pause between reads of the log and the host list
     * @param answerMillis lifetime of an address answer
     */
    public record Timing(long leaseMillis, long pollMillis, long answerMillis) {}

    /** Reads a file; fails with {@link ResultCode#SETTINGS_INVALID}. */
    public static NodeSettings from(Path file) {
        try {
            return mapper().readValue(file.toFile(), NodeSettings.class);
        } catch (IOException e) {
            throw new QuetzalvaneException(ResultCode.SETTINGS_INVALID, file + ": " + e.getMessage(), e);
        }
    }

    private static TomlMapper mapper() {
        return TomlMapper.builder()
                .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
                .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
                .build();
    }
}
