package org.quetzalvane.standins.harness;

import java.io.IOException;

/** Collects the sizes and settings of a {@link LocalCluster}. Not thread-safe. */
public final class ClusterBuilder {
    private int nodes = 3;
    private int engines = 2;
    private int slots = 2;
    private boolean checksFencing;
    private long leaseMillis = 2000;
    private long readMillis = 30_000;
    private long snapshotSeconds = 3600;

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

    public ClusterBuilder readMillis(long millis) {
        readMillis = millis;
        return this;
    }

    public ClusterBuilder snapshotSeconds(long seconds) {
        snapshotSeconds = seconds;
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

    long readMillis() {
        return readMillis;
    }

    long snapshotSeconds() {
        return snapshotSeconds;
    }
}
