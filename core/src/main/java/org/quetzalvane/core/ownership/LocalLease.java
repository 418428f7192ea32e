package org.quetzalvane.core.ownership;

import java.util.Iterator;
import java.util.Map;
import java.util.TreeMap;

/**
 * The lease of this node. A renewal extends the lease once its record has been read from the log; the lease then runs
 * for its duration from the time at which the renewal was started.
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
     * Extends the lease by a renewal that was read back as valid; has no effect if the renewal is not pending, because
     * a later one was read back or too many are pending.
     *
     * @param confirmedSequence sequence number of the renewal
     * @return whether this renewal is the first one that takes effect
     */
    synchronized boolean confirm(long confirmedSequence) {
        Long startNanos = startNanosBySequence.get(confirmedSequence);
        if (startNanos == null) {
            return false;
        }
        removeUpTo(confirmedSequence);
        long expiryNanos = startNanos + leaseNanos;
        expiresAtNanos = acquired && expiresAtNanos - expiryNanos > 0 ? expiresAtNanos : expiryNanos;
        boolean first = !acquired;
        acquired = true;
        return first;
    }

    synchronized boolean valid(long nowNanos) {
        return acquired && expiresAtNanos - nowNanos > 0;
    }

    private void removeUpTo(long confirmedSequence) {
        Iterator<Map.Entry<Long, Long>> i = startNanosBySequence.entrySet().iterator();
        while (i.hasNext() && i.next().getKey() <= confirmedSequence) {
            i.remove();
        }
    }
}
