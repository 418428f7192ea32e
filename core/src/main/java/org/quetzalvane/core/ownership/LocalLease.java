package org.quetzalvane.core.ownership;

import java.util.Iterator;
import java.util.Map;
import java.util.TreeMap;

/**
 * The lease of this node. A renewal takes effect once it was read back, and counts from before it was appended.
 *
 * <p>Invariant: the lease expires no later than one lease duration after the start of a renewal that was read back as
 * valid. Thread-safe; its monitor is a leaf in the lock order.
 */
final class LocalLease {
    private static final int MAX_PENDING_RENEWALS = 16;

    private final long leaseNanos;
    private final TreeMap<Long, Long> startNanosBySequence = new TreeMap<>();
    private long sequence;
    private long expiresAtNanos;
    private boolean acquired;

    LocalLease(long leaseNanos) {
        this.leaseNanos = leaseNanos;
    }

    /** Starts a renewal and returns its sequence number. */
    synchronized long startRenewal(long nowNanos) {
        sequence++;
        startNanosBySequence.put(sequence, nowNanos);
        if (startNanosBySequence.size() > MAX_PENDING_RENEWALS) {
            startNanosBySequence.pollFirstEntry();
        }
        return sequence;
    }

    /**
     * Extends the lease after a renewal was read back as valid. One whose start is no longer known has no effect.
     *
     * @return whether it is the first renewal that takes effect
     */
    synchronized boolean readBack(long renewal) {
        Long startNanos = startNanosBySequence.get(renewal);
        if (startNanos == null) {
            return false;
        }
        removeUpTo(renewal);
        long expiryNanos = startNanos + leaseNanos;
        expiresAtNanos = acquired && expiresAtNanos - expiryNanos > 0 ? expiresAtNanos : expiryNanos;
        boolean first = !acquired;
        acquired = true;
        return first;
    }

    synchronized boolean valid(long nowNanos) {
        return acquired && expiresAtNanos - nowNanos > 0;
    }

    private void removeUpTo(long renewal) {
        Iterator<Map.Entry<Long, Long>> i = startNanosBySequence.entrySet().iterator();
        while (i.hasNext() && i.next().getKey() <= renewal) {
            i.remove();
        }
    }
}
