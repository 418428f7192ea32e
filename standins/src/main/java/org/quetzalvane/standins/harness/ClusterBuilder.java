package org.quetzalvane.standins.harness;

import java.io.IOException;

/** Builder of a {@link LocalCluster}. Not thread-safe. */
public final class ClusterBuilder {
    private int nodes = 3;
    private int engines = 2;
    private int slots = 2;
    private boolean checksFencing;
    private long leaseMillis = 2000;
    private long readTimeoutMillis = 30_000;
    private long snapshotIntervalSeconds = 3600;

    public ClusterBuilder nodes(int n) {
        nodes = n;
        return this;
    }

    public ClusterBuilder engines(int n) {
        engines = n;
        return this;
    }

    public ClusterBuilder slots(int n) {
        slots = n;
        return this;
    }

    public ClusterBuilder checksFencing(boolean checks) {
        checksFencing = checks;
        return this;
    }

    public ClusterBuilder leaseMillis(long millis) {
        leaseMillis = millis;
        return this;
    }

    public ClusterBuilder readTimeoutMillis(long millis) {
        readTimeoutMillis = millis;
        return this;
    }

    public ClusterBuilder snapshotIntervalSeconds(long seconds) {
        snapshotIntervalSeconds = seconds;
        return this;
    }

    /** Starts all processes and waits until every node is ready. */
    public LocalCluster start() throws IOException {
        LocalCluster cluster = new LocalCluster(this);
        try {
            cluster.open();
            return cluster;
        } catch (IOException | RuntimeException e) {
            cluster.close();
            throw e;
        }
    }

    int nodes() {
        return nodes;
    }

    int engines() {
        return engines;
    }

    int slots() {
        return slots;
    }

    boolean checksFencing() {
        return checksFencing;
    }

    long leaseMillis() {
        return leaseMillis;
    }

    long readTimeoutMillis() {
        return readTimeoutMillis;
    }

    long snapshotIntervalSeconds() {
        return snapshotIntervalSeconds;
    }
}
