package org.quetzalvane.core.exc;

import org.quetzalvane.core.ResultCode;

/** Thrown when a record or snapshot cannot be decoded. Immutable. */
public class RecordException extends QuetzalvaneException {
    private static final long serialVersionUID = 1L;

    public RecordException(ResultCode code, String message) {
        super(code, message);
    }
}
