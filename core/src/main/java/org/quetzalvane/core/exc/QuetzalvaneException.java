package org.quetzalvane.core.exc;

import org.quetzalvane.core.ResultCode;

/**
 * Base class of the exceptions of this project; carries a {@link ResultCode}.
 *
 * <p>Futures of the ports and of the core complete exceptionally with this class or a subclass, possibly wrapped in a
 * {@link java.util.concurrent.CompletionException}. Immutable and thread-safe.
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

    /**
     * The code of a failure or of the first cause that has one, such as below the wrapper of a
     * {@code CompletableFuture}; {@link ResultCode#INTERNAL} if there is none.
     */
    public static ResultCode codeOf(Throwable failure) {
        for (Throwable t = failure; t != null; t = t.getCause()) {
            if (t instanceof QuetzalvaneException) {
                return ((QuetzalvaneException) t).code;
            }
        }
        return ResultCode.INTERNAL;
    }
}
