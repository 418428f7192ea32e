package org.quetzalvane.core.exc;

import org.quetzalvane.core.ResultCode;

/**
 * Thrown when an order to an endpoint or an attempt at one fails.
 *
 * <p>{@link #provesNotRun()} is true only when the endpoint reported so or when no byte was written to it. Immutable.
 */
public class EndpointException extends QuetzalvaneException {
    private static final long serialVersionUID = 1L;

    private final boolean provesNotRun;

    public EndpointException(ResultCode code, String message, boolean provedNotRun) {
        super(code, message);
        this.provesNotRun = provedNotRun;
    }

    public boolean provesNotRun() {
        return provesNotRun;
    }
}
