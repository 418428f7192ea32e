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
 * Idempotency keys issued by this incarnation of the node, with the outcomes of their calls.
 *
 * <p>Invariant: the call under a key is started at most once. A key contains the node and the incarnation that issued
 * it, and only that process runs the call, so that no other node or later incarnation can run it again. Thread-safe.
 */
public final class IdempotencyTable {
    private static final char SEPARATOR = ':';
    private static final int KEY_FIELDS = 3;

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

    /** Creates the table of an incarnation of a node; calls of keys evicted beyond {@code maxKeys} are not run. */
    public IdempotencyTable(String node, long incarnation, int maxKeys) {
        this.prefix = node + SEPARATOR + incarnation + SEPARATOR;
        this.entries = Caffeine.newBuilder()
                .maximumSize(maxKeys)
                .executor(Runnable::run)
                .build();
    }

    /** Issues a new key to a caller. */
    public String issue(String caller) {
        String key = prefix + sequence.incrementAndGet();
        entries.put(key, new Entry(caller));
        return key;
    }

    /** Returns whether a key has the prefix of the keys of this process; it need not have been issued. */
    public boolean hasPrefixOfThisProcess(String key) {
        return key.startsWith(prefix);
    }

    /** Returns the name of the node that issued a key, if the key has the right form. */
    public static Optional<String> issuerOf(String key) {
        int separatorIndex = key.indexOf(SEPARATOR);
        return separatorIndex > 0 ? Optional.of(key.substring(0, separatorIndex)) : Optional.empty();
    }

    /** Returns the incarnation that issued a key, or -1 if the key has another form. */
    public static long incarnationOf(String key) {
        String[] parts = key.split(String.valueOf(SEPARATOR), -1);
        try {
            return parts.length == KEY_FIELDS ? Long.parseLong(parts[1]) : -1;
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    /**
     * Runs the call under a key that this process issued, or returns the outcome of its earlier run, which may still be
     * pending.
     *
     * <p>Fails with {@link RefusedException} if the key was not issued to this caller, and with
     * {@link ResultCode#NEVER_WILL_RUN} if it was issued and evicted from the table, since the call may have run.
     */
    public CompletableFuture<ServiceResponse> runOnce(String key, String caller, IdempotentCall call) {
        Entry entry = entries.getIfPresent(key);
        if (entry == null && wasIssued(key)) {
            String message = "the outcome of the key is no longer stored; the call will not be run again";
            return CompletableFuture.failedFuture(new QuetzalvaneException(ResultCode.NEVER_WILL_RUN, message));
        }
        if (entry == null || !entry.caller.equals(caller)) {
            String message = "the key was not issued to this caller";
            return CompletableFuture.failedFuture(new RefusedException(Refusal.of(ResultCode.KEY_REQUIRED, message)));
        }
        CompletableFuture<ServiceResponse> outcome;
        synchronized (entry) {
            if (entry.outcome != null) {
                return entry.outcome;
            }
            outcome = new CompletableFuture<>();
            entry.outcome = outcome;
        }
        start(call).whenComplete((response, failure) -> {
            if (failure == null) {
                outcome.complete(response);
            } else {
                outcome.completeExceptionally(failure);
            }
        });
        return outcome;
    }

    private boolean wasIssued(String key) {
        if (!hasPrefixOfThisProcess(key)) {
            return false;
        }
        try {
            long keySequence = Long.parseLong(key.substring(prefix.length()));
            return keySequence > 0 && keySequence <= sequence.get();
        } catch (NumberFormatException e) {
            return false;
        }
    }

    private static CompletableFuture<ServiceResponse> start(IdempotentCall call) {
        try {
            return call.run();
        } catch (RuntimeException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    /** The call under a key. */
    @FunctionalInterface
    public interface IdempotentCall {
        CompletableFuture<ServiceResponse> run();
    }
}
