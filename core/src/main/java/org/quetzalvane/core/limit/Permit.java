package org.quetzalvane.core.limit;

/**
 * Answer to a request for a permit to send one request to a limited endpoint. Immutable.
 *
 * @param granted whether the request may be sent
 * @param waitMs time after which the next request can expect a permit, milliseconds; 0 if there is one left
 */
public record Permit(boolean granted, long waitMs) {
    /** Answer for an endpoint without a limit. */
    public static final Permit UNLIMITED = new Permit(true, 0);

    static Permit granted(long nextWaitMs) {
        return new Permit(true, nextWaitMs);
    }

    /** A permit that is denied because the wait would be too long. */
    public static Permit denied(long waitMs) {
        return new Permit(false, waitMs);
    }
}
