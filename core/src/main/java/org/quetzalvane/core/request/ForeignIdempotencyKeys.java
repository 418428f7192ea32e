package org.quetzalvane.core.request;

import java.util.Optional;
import java.util.function.Function;

import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.cluster.NodeInfo;
import org.quetzalvane.core.exc.HeldElsewhereException;
import org.quetzalvane.core.exc.QuetzalvaneException;
import org.quetzalvane.core.exc.RefusedException;

/**
 * Answers idempotency keys that this process did not issue. Thread-safe.
 *
 * <p>Invariant: a holder counts as gone only when a later incarnation of it is known, never because it is silent,
 * unknown here or missing from the host list; and no answer says that the call under a key did not run.
 */
public final class ForeignIdempotencyKeys {
    private final NodeInfo self;
    private final Function<String, Optional<NodeInfo>> members;

    /** Builds it for a node; {@code members} finds the latest known incarnation of a node by name. */
    public ForeignIdempotencyKeys(NodeInfo self, Function<String, Optional<NodeInfo>> members) {
        this.self = self;
        this.members = members;
    }

    /** What is true of a key, which may be null. */
    public QuetzalvaneException failureFor(String key) {
        String issuer = key == null ? "" : IdempotencyTable.issuer(key).orElse("");
        long incarnation = key == null ? -1 : IdempotencyTable.incarnation(key);
        if (issuer.isEmpty() || incarnation < 0) {
            String message = "ask for an address first; the answer carries a key";
            return new RefusedException(Refusal.of(ResultCode.KEY_REQUIRED, message));
        }
        if (issuer.equals(self.node())) {
            return gone(issuer);
        }
        Optional<NodeInfo> known = members.apply(issuer);
        if (known.isEmpty() || known.get().incarnation() < incarnation) {
            String message = "the holder " + issuer + " of the key is not known here";
            return new QuetzalvaneException(ResultCode.OUTCOME_UNKNOWN, message);
        }
        return known.get().incarnation() > incarnation
                ? gone(issuer)
                : new HeldElsewhereException(issuer, known.get().callerAddress());
    }

    private static QuetzalvaneException gone(String issuer) {
        String message = "the process of " + issuer + " that held the key is gone; it will never run";
        return new QuetzalvaneException(ResultCode.NEVER_WILL_RUN, message);
    }
}
