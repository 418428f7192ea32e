package org.quetzalvane.core.request;

import org.quetzalvane.core.ResultCode;

/**
 * Reason why a request was not run. Immutable.
 *
 * @param code the reason; {@link ResultCode#provesNotRun()} holds
 * @param message human-readable explanation
 * @param retryAfterMillis time after which to retry, in milliseconds; 0 if retrying the same request here is pointless
 * @param redirectAddress address to send the request to instead, or empty
 */
public record Refusal(ResultCode code, String message, long retryAfterMillis, String redirectAddress) {

    public Refusal {
        if (!code.provesNotRun()) {
            throw new IllegalArgumentException(code + " does not prove that the request was not run");
        }
    }

    /** Returns a refusal after which retrying the same request here is pointless. */
    public static Refusal of(ResultCode code, String message) {
        return new Refusal(code, message, 0, "");
    }

    /** Returns a refusal with the time after which to retry, in milliseconds. */
    public static Refusal retryable(ResultCode code, String message, long retryAfterMillis) {
        return new Refusal(code, message, retryAfterMillis, "");
    }

    public Refusal withRedirectAddress(String address) {
        return new Refusal(code, message, retryAfterMillis, address);
    }
}
