package org.quetzalvane.transport;

import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.exc.QuetzalvaneException;

/** The memory of the node cannot hold the header lines of a request. Immutable. */
final class HeadRefusedException extends QuetzalvaneException {
    private static final long serialVersionUID = 1L;

    HeadRefusedException() {
        super(ResultCode.NODE_MEMORY_FULL, "header lines cannot be held");
    }
}
