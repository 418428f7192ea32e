package org.quetzalvane.core.exc;

import org.quetzalvane.core.ResultCode;

/** Thrown when a requested offset has expired; reading can resume at {@link #firstOffset()}. Immutable. */
public class LogExpiredException extends QuetzalvaneException {
    private static final long serialVersionUID = 1L;

    private final long firstOffset;

    public LogExpiredException(long firstOffset) {
        super(ResultCode.LOG_EXPIRED, "requested offset has expired; the first available offset is " + firstOffset);
        this.firstOffset = firstOffset;
    }

    public long firstOffset() {
        return firstOffset;
    }
}
