package org.quetzalvane.core.limit;

import java.util.Collections;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Accounts for the bytes that a node holds for callers and endpoints, so that inputs which are each within their own
 * bound do not exhaust the heap together.
 *
 * <p>Load pattern: many requests with bodies while endpoints read slowly, many streams that stop within an event, and
 * requests of very many header lines. Each {@link Kind} has its own share, so that one cannot displace the other. Of a
 * share, a request may hold at most half of what is left to it; small requests are therefore admitted long after large
 * ones are refused. A response is not refused, since its request has run: past the share, the largest one is shed.
 *
 * <p>Invariant: the sum of a kind never exceeds its share after a call, unless nothing is left to shed. Confined to the
 * event loop; a holding is closed before its shed callback runs.
 */
public final class MemoryAccount {
    /** Part of the largest heap that may be held; the copies that are written to sockets are outside of the heap. */
    private static final double HEAP_SHARE = 0.5;
    /** A request may hold one in this many of the bytes that are left to it, of each kind. */
    private static final int FREE_PARTS = 2;

    /** What is held. */
    public enum Kind {
        /** Bodies of requests, from their first byte to the end of the response. */
        REQUEST_BODY(8.0 / 15),
        /** Parts of responses that cannot be passed on yet. */
        RESPONSE_PART(4.0 / 15),
        /** Header lines of requests, from the first one to the end of the response. */
        REQUEST_HEAD(3.0 / 15);

        private final double share;

        Kind(double share) {
            this.share = share;
        }
    }

    private final long capacity;
    private final Map<Kind, Usage> usages = new EnumMap<>(Kind.class);

    /** Creates an account with the given number of bytes for all kinds. */
    public MemoryAccount(long capacity) {
        this.capacity = capacity;
        for (Kind k : Kind.values()) {
            usages.put(k, new Usage());
        }
    }

    /** Creates the account of a process with the given largest heap, bytes. */
    public static MemoryAccount ofHeap(long maxHeapBytes) {
        return new MemoryAccount((long) (HEAP_SHARE * maxHeapBytes));
    }

    /** Starts a holding that is not shed. */
    public Holding open(Kind kind) {
        return new Holding(kind, null);
    }

    /**
     * Starts a holding that is shed when it is the largest of its kind and the share is exceeded.
     *
     * @param shed runs within {@link Holding#hold}, after the holding was closed
     */
    public Holding open(Kind kind, Runnable shed) {
        return new Holding(kind, shed);
    }

    /** Bytes held of a kind. */
    public long held(Kind kind) {
        return usages.get(kind).held;
    }

    /** Most bytes that may be held of a kind. */
    public long share(Kind kind) {
        return (long) (capacity * kind.share);
    }

    /** Number of holdings of a kind that were refused or shed. */
    public long refused(Kind kind) {
        return usages.get(kind).refused;
    }

    private void shedBeyondShare(Kind kind) {
        Usage u = usages.get(kind);
        while (u.held > share(kind) && !u.sheddable.isEmpty()) {
            Holding largest = Collections.max(u.sheddable, Comparator.comparingLong(h -> h.bytes));
            u.refused++;
            Runnable shed = largest.shed;
            largest.close();
            shed.run();
        }
    }

    private static final class Usage {
        private final Set<Holding> sheddable = Collections.newSetFromMap(new IdentityHashMap<>());
        private long held;
        private long refused;
    }

    /** Bytes that one request holds. Confined to the event loop. */
    public final class Holding {
        private final Kind kind;
        private final Runnable shed;
        private long bytes;

        private Holding(Kind kind, Runnable shed) {
            this.kind = kind;
            this.shed = shed;
        }

        /** Raises the bytes held to the given number if they may be held; returns whether they are held now. */
        public boolean tryHold(long newBytes) {
            long left = share(kind) - held(kind) + bytes;
            if (newBytes * FREE_PARTS > left) {
                usages.get(kind).refused++;
                return false;
            }
            hold(newBytes);
            return true;
        }

        /** Sets the bytes held, which sheds the largest holdings past the share; this one may be among them. */
        public void hold(long newBytes) {
            Usage u = usages.get(kind);
            u.held += newBytes - bytes;
            bytes = newBytes;
            if (shed != null && bytes > 0) {
                u.sheddable.add(this);
            } else {
                u.sheddable.remove(this);
            }
            shedBeyondShare(kind);
        }

        /** Bytes held now. */
        public long bytes() {
            return bytes;
        }

        /** Gives all bytes back. */
        public void close() {
            Usage u = usages.get(kind);
            u.held -= bytes;
            bytes = 0;
            u.sheddable.remove(this);
        }
    }
}
