package org.quetzalvane.core.exc;

import org.quetzalvane.core.ResultCode;

/**
 * Thrown when an order to an endpoint or an attempt at one fails.
 *
 * <p>{@link #hadNoEffect()} is true only if the endpoint reported that it did not run the attempt, the order was
 * refused or never sent, or no byte was written to the endpoint. Immutable.
 */
public class EndpointException extends QuetzalvaneException {
    private static final long serialVersionUID = 1L;

    private final boolean hadNoEffect;

    public EndpointException(ResultCode code, String message, boolean hadNoEffect) {
        super(code, message);
        this.hadNoEffect = hadNoEffect;
    }

    public boolean hadNoEffect() {
        return hadNoEffect;
    }
}
