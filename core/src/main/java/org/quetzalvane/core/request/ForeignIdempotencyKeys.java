package org.quetzalvane.core.request;

import java.util.Optional;
import java.util.function.Function;

import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.cluster.NodeInfo;
import org.quetzalvane.core.exc.HeldElsewhereException;
import org.quetzalvane.core.exc.QuetzalvaneException;
import org.quetzalvane.core.exc.RefusedException;

/**
 * Determines the failure of a call whose idempotency key was not issued by this process. Thread-safe.
 *
 * <p>Invariants: a key's holder counts as ended only when a later incarnation of its node is known, never because the
 * node is silent, unknown here or missing from the host list. No failure states that the call under a key was not run.
 */
public final class ForeignIdempotencyKeys {
    private final NodeInfo self;
    private final Function<String, Optional<NodeInfo>> latestIncarnation;

    /** {@code latestIncarnation} finds the latest known incarnation of a node by name. */
    public ForeignIdempotencyKeys(NodeInfo self, Function<String, Optional<NodeInfo>> latestIncarnation) {
        this.self = self;
        this.latestIncarnation = latestIncarnation;
    }

    /** Returns the failure that describes the state of a key; the key may be null. */
    public QuetzalvaneException failureFor(String key) {
        String issuer = key == null ? "" : IdempotencyTable.issuerOf(key).orElse("");
        long incarnation = key == null ? -1 : IdempotencyTable.incarnationOf(key);
        if (issuer.isEmpty() || incarnation < 0) {
            String message = "request an address first; the address response carries an idempotency key";
            return new RefusedException(Refusal.of(ResultCode.KEY_REQUIRED, message));
        }
        if (issuer.equals(self.node())) {
            return issuerGone(issuer);
        }
        Optional<NodeInfo> knownIssuer = latestIncarnation.apply(issuer);
        if (knownIssuer.isEmpty() || knownIssuer.get().incarnation() < incarnation) {
            String message = "node " + issuer + ", the holder of the key, or its incarnation is not known here";
            return new QuetzalvaneException(ResultCode.OUTCOME_UNKNOWN, message);
        }
        return knownIssuer.get().incarnation() > incarnation
                ? issuerGone(issuer)
                : new HeldElsewhereException(issuer, knownIssuer.get().callerAddress());
    }

    private static QuetzalvaneException issuerGone(String issuer) {
        String message =
                "the holder of the key, a process of node " + issuer + ", has ended; the call will not be run any more";
        return new QuetzalvaneException(ResultCode.NEVER_WILL_RUN, message);
    }
}
