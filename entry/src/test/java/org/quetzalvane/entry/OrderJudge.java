package org.quetzalvane.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * One engine in each partition, to which every node sends an order whenever it may, and which records each order that
 * violates the rules for owners. Single-threaded.
 */
final class OrderJudge {
    private static final Duration ORDER_INTERVAL = Duration.ofMillis(50);
    /** Time after a fault of a node ended for which its orders are not judged, ms. */
    private static final long SLACK_MS = 300;
    /** Time without a fault after which a node counts as undisturbed, ms. */
    private static final long STABLE_MS = 3_000;

    private final PausedNodes nodes;
    private final boolean fencingEnforced;
    private final Order[] last = new Order[PausedStore.PARTITIONS];
    private final List<String> violations = new ArrayList<>();

    OrderJudge(PausedNodes nodes, boolean fencingEnforced) {
        this.nodes = nodes;
        this.fencingEnforced = fencingEnforced;
        nodes.clock.repeat(ORDER_INTERVAL, this::sendOrders);
    }

    /** An order that an engine carried out. */
    private record Order(String owner, long token, long nanos, boolean ownerUndisturbed) {}

    /** Every violation as text. */
    List<String> violations() {
        return violations;
    }

    /** Owner that sent the last order in a partition, or null. */
    String lastOwner(int partition) {
        return last[partition] == null ? null : last[partition].owner;
    }

    /** Time since the last order in a partition, ms. */
    long msSinceLastOrder(int partition) {
        return (nodes.clock.nanoTime() - last[partition].nanos) / 1_000_000;
    }

    private void sendOrders() {
        for (PausedNodes.Node n : nodes.all()) {
            for (int p = 0; p < PausedStore.PARTITIONS && n.scheduler.running(); p++) {
                long token = n.lease.tokenForOrder(p);
                if (token >= 0) {
                    n.lease.recordOrder(p);
                    receive(n, p, token);
                }
            }
        }
    }

    private void receive(PausedNodes.Node from, int partition, long token) {
        Order previous = last[partition];
        boolean outdated = previous != null && token < previous.token;
        if (outdated && fencingEnforced) {
            from.lease.tokenRejected(token);
            return;
        }
        Order order = new Order(from.address, token, nodes.clock.nanoTime(), from.undisturbedFor(STABLE_MS));
        if (previous != null && !previous.owner.equals(order.owner) && from.undisturbedFor(SLACK_MS)) {
            judge(partition, previous, order);
        }
        last[partition] = order;
    }

    /** Judges the turn from one owner to another; where engines check tokens only if both owners are undisturbed. */
    private void judge(int partition, Order previous, Order order) {
        boolean undisturbed = previous.ownerUndisturbed
                && nodes.node(previous.owner).undisturbedFor(STABLE_MS)
                && order.ownerUndisturbed;
        if (order.token <= previous.token) {
            violations.add("partition " + partition + ": " + order + " under no newer token than " + previous);
        }
        boolean withinLease = order.nanos - previous.nanos < PausedNodes.LEASE_MS * 1_000_000;
        if (withinLease && (undisturbed || !fencingEnforced)) {
            violations.add("partition " + partition + ": " + order + " within the lease of " + previous);
        }
    }
}
