package org.quetzalvane.core.exc;

import org.quetzalvane.core.ResultCode;

/**
 * Another node holds an idempotency key; whether the call ran is known there only. Immutable.
 */
public final class HeldElsewhereException extends QuetzalvaneException {
    private static final long serialVersionUID = 1L;

    private final String holderAddress;

    /** Names the holder and its address for callers, {@code ip:port}. */
    public HeldElsewhereException(String holder, String where) {
        super(ResultCode.HELD_ELSEWHERE, "the key is held by " + holder);
        this.holderAddress = where;
    }

    public String holderAddress() {
        return holderAddress;
    }
}
