package org.quetzalvane.core.exc;

import org.quetzalvane.core.request.Refusal;

/** Thrown when a request was refused and not run. Immutable. */
public class RefusedException extends QuetzalvaneException {
    private static final long serialVersionUID = 1L;

    private final transient Refusal refusal;

    public RefusedException(Refusal refusal) {
        super(refusal.code(), refusal.message());
        this.refusal = refusal;
    }

    public Refusal refusal() {
        return refusal;
    }
}
