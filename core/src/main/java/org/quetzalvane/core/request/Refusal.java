package org.quetzalvane.core.request;

import org.quetzalvane.core.ResultCode;

/**
 * A truthful statement that a request was not run. Immutable.
 *
 * @param code the reason; {@link ResultCode#provesNotRun()} holds
 * @param message explanation for people
 * @param retryAfterMillis when to come back, in milliseconds; 0 when repeating the same request is pointless
 * @param redirectAddress address to ask instead, or empty
 */
public record Refusal(ResultCode code, String message, long retryAfterMillis, String redirectAddress) {

    public Refusal {
        if (!code.provesNotRun()) {
            throw new IllegalArgumentException(code + " does not prove that the request was not run");
        }
    }

    public static Refusal of(ResultCode code, String message) {
        return new Refusal(code, message, 0, "");
    }

    public static Refusal retryable(ResultCode code, String message, long retryAfterMillis) {
        return new Refusal(code, message, retryAfterMillis, "");
    }

    public Refusal withRedirectAddress(String address) {
        return new Refusal(code, message, retryAfterMillis, address);
    }
}
