package org.quetzalvane.core.exc;

import org.quetzalvane.core.ResultCode;

/**
 * Root of all exceptions of this project; carries the numbered result code.
 *
 * <p>Asynchronous operations complete exceptionally with a subclass. Immutable and thread-safe.
 */
public class QuetzalvaneException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ResultCode code;

    public QuetzalvaneException(ResultCode code, String message) {
        super(message);
        this.code = code;
    }

    public QuetzalvaneException(ResultCode code, String message, Throwable cause) {
        super(message, cause);
        this.code = code;
    }

    public ResultCode code() {
        return code;
    }

    /** Finds the code in a failure that may be wrapped by a {@code CompletableFuture}. */
    public static ResultCode codeOf(Throwable failure) {
        for (Throwable t = failure; t != null; t = t.getCause()) {
            if (t instanceof QuetzalvaneException) {
                return ((QuetzalvaneException) t).code;
            }
        }
        return ResultCode.INTERNAL;
    }
}
