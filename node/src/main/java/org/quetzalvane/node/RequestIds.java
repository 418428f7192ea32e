package org.quetzalvane.node;

import java.util.concurrent.atomic.AtomicLong;

import org.quetzalvane.core.cluster.NodeInfo;

/**
 * Identifiers of requests and calls, unique over all nodes and incarnations. Thread-safe.
 *
 * <p>Invariant: a restarted node never gives an identifier again, so that an attempt of the earlier process that still
 * runs at an endpoint is never taken for one of the present process.
 */
final class RequestIds {
    private static final int RADIX = 36;

    private final String prefix;
    private final AtomicLong sequence = new AtomicLong();

    RequestIds(NodeInfo self) {
        this.prefix = self.node() + "-" + Long.toString(self.incarnation(), RADIX) + "-";
    }

    String next() {
        return prefix + sequence.incrementAndGet();
    }
}
