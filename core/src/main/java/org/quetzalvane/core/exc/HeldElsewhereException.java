package org.quetzalvane.core.exc;

import org.quetzalvane.core.ResultCode;

/**
 * Thrown when another node issued an idempotency key and holds its outcome; only that node knows whether the call was
 * run. Immutable.
 */
public final class HeldElsewhereException extends QuetzalvaneException {
    private static final long serialVersionUID = 1L;

    private final String holderAddress;

    /**
     * Creates the exception.
     *
     * @param holder name of the node that issued the key and holds its outcome
     * @param holderAddress address of that node for callers, {@code ip:port}
     */
    public HeldElsewhereException(String holder, String holderAddress) {
        super(ResultCode.HELD_ELSEWHERE, "the idempotency key is held by " + holder);
        this.holderAddress = holderAddress;
    }

    public String holderAddress() {
        return holderAddress;
    }
}
