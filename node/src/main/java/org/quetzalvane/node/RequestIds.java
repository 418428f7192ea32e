package org.quetzalvane.node;

import java.util.concurrent.atomic.AtomicLong;

import org.quetzalvane.core.cluster.NodeInfo;

/**
 * Generator of request and call ids, which are unique over all nodes and incarnations. Thread-safe.
 *
 * <p>Invariant: a restarted node never reuses an id. An attempt of an earlier incarnation that still runs at an
 * endpoint is therefore never taken for one of the present incarnation.
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
