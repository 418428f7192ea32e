package org.quetzalvane.core.request;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.exc.QuetzalvaneException;
import org.quetzalvane.core.exc.RefusedException;
import org.quetzalvane.core.port.ServicePort.ServiceResponse;

/**
 * Idempotency keys issued by this incarnation of the node and the outcomes recorded under them.
 *
 * <p>Invariant: the call under a key is started at most once, ever: a key names the node and incarnation that issued
 * it and only that process runs it, so no other node nor a later incarnation can run it again. Thread-safe.
 */
public final class IdempotencyTable {
    private static final char SEPARATOR = ':';
    private static final int FIELDS = 3;

    private final String prefix;
    private final AtomicLong sequence = new AtomicLong();
    private final Cache<String, Entry> entries;

    private static final class Entry {
        private final String caller;
        private CompletableFuture<ServiceResponse> outcome;

        Entry(String caller) {
            this.caller = caller;
        }
    }

    /** Builds the table of a node's incarnation; forgotten entries can no longer be run. */
    public IdempotencyTable(String node, long incarnation, int maxKeys) {
        this.prefix = node + SEPARATOR + incarnation + SEPARATOR;
        this.entries = Caffeine.newBuilder()
                .maximumSize(maxKeys)
                .executor(Runnable::run)
                .build();
    }

    /** Issues a fresh key to a caller. */
    public String issue(String caller) {
        String key = prefix + sequence.incrementAndGet();
        entries.put(key, new Entry(caller));
        return key;
    }

    /** Whether this process issued the key. */
    public boolean isIssuedHere(String key) {
        return key.startsWith(prefix);
    }

    /** Name of the node that issued a key, if the key has the right form. */
    public static Optional<String> issuer(String key) {
        int end = key.indexOf(SEPARATOR);
        return end > 0 ? Optional.of(key.substring(0, end)) : Optional.empty();
    }

    /** Incarnation that issued a key; -1 when the key has another form. */
    public static long incarnation(String key) {
        String[] parts = key.split(String.valueOf(SEPARATOR), -1);
        try {
            return parts.length == FIELDS ? Long.parseLong(parts[1]) : -1;
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    /**
     * Runs the call under an own key, or joins the run that is under way or over.
     *
     * <p>Fails with {@link RefusedException} when the key was never issued to this caller, and with
     * {@link ResultCode#NEVER_WILL_RUN} when it was issued and has been forgotten, since it may have run.
     */
    public CompletableFuture<ServiceResponse> runOnce(String key, String caller, Operation start) {
        Entry e = entries.getIfPresent(key);
        if (e == null && wasIssued(key)) {
            String message = "the key's outcome is no longer held; it will never run again";
            return CompletableFuture.failedFuture(new QuetzalvaneException(ResultCode.NEVER_WILL_RUN, message));
        }
        if (e == null || !e.caller.equals(caller)) {
            String message = "the key is not held for this caller";
            return CompletableFuture.failedFuture(new RefusedException(Refusal.of(ResultCode.KEY_REQUIRED, message)));
        }
        CompletableFuture<ServiceResponse> outcome;
        synchronized (e) {
            if (e.outcome != null) {
                return e.outcome;
            }
            outcome = new CompletableFuture<>();
            e.outcome = outcome;
        }
        begin(start).whenComplete((answer, failure) -> {
            if (failure == null) {
                outcome.complete(answer);
            } else {
                outcome.completeExceptionally(failure);
            }
        });
        return outcome;
    }

    private boolean wasIssued(String key) {
        if (!isIssuedHere(key)) {
            return false;
        }
        try {
            long number = Long.parseLong(key.substring(prefix.length()));
            return number > 0 && number <= sequence.get();
        } catch (NumberFormatException e) {
            return false;
        }
    }

    private static CompletableFuture<ServiceResponse> begin(Operation start) {
        try {
            return start.execute();
        } catch (RuntimeException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    /** Starts the one run under a key. */
    @FunctionalInterface
    public interface Operation {
        CompletableFuture<ServiceResponse> execute();
    }
}
