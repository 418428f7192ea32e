package org.quetzalvane.core.exc;

import org.quetzalvane.core.ResultCode;

/** A configuration record that cannot be decoded or breaks a rule. Immutable. */
public class RecordException extends QuetzalvaneException {
    private static final long serialVersionUID = 1L;

    public RecordException(ResultCode code, String message) {
        super(code, message);
    }
}
