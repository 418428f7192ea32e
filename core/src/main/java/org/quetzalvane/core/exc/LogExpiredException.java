package org.quetzalvane.core.exc;

import org.quetzalvane.core.ResultCode;

/** The requested offset has expired; reading may go on from {@link #firstOffset()}. Immutable. */
public class LogExpiredException extends QuetzalvaneException {
    private static final long serialVersionUID = 1L;

    private final long firstOffset;

    public LogExpiredException(long firstOffset) {
        super(ResultCode.LOG_EXPIRED, "the first offset still kept is " + firstOffset);
        this.firstOffset = firstOffset;
    }

    public long firstOffset() {
        return firstOffset;
    }
}
