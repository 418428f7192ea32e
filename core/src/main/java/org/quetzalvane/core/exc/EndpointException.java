package org.quetzalvane.core.exc;

import org.quetzalvane.core.ResultCode;

/**
 * Thrown when an order to an endpoint or an attempt at one fails.
 *
 * <p>{@link #provesNotRun()} is true only if the endpoint reported that it did not run the attempt, the order was
 * refused or never sent, or no byte was written to the endpoint. Immutable.
 */
public class EndpointException extends QuetzalvaneException {
    private static final long serialVersionUID = 1L;

    private final boolean provesNotRun;

    public EndpointException(ResultCode code, String message, boolean provesNotRun) {
        super(code, message);
        this.provesNotRun = provesNotRun;
    }

    public boolean provesNotRun() {
        return provesNotRun;
    }
}
