package org.quetzalvane.adapters.http;

import com.fasterxml.jackson.annotation.JsonInclude;
import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.exc.HeldElsewhereException;
import org.quetzalvane.core.request.Refusal;

/**
 * The JSON form of every error. Immutable.
 *
 * @param code number of the result code
 * @param name name of the result code
 * @param message explanation for people
 * @param notRun whether the request certainly was not run
 * @param retryAfterMillis when to come back, in milliseconds; 0 when that is pointless
 * @param where address to ask instead, or empty
 */
@JsonInclude(JsonInclude.Include.NON_EMPTY)
public record ErrorBody(int code, String name, String message, boolean notRun, long retryAfterMillis, String where) {

    public static ErrorBody of(ResultCode code, String message) {
        return new ErrorBody(code.number(), code.name(), message, code.provesNotRun(), 0, "");
    }

    /** The form of an answer that names the holder of a key. */
    public static ErrorBody of(HeldElsewhereException e) {
        ResultCode c = e.code();
        return new ErrorBody(c.number(), c.name(), e.getMessage(), false, 0, e.holderAddress());
    }

    /** The form of a refusal. */
    public static ErrorBody of(Refusal r) {
        ResultCode c = r.code();
        return new ErrorBody(c.number(), c.name(), r.message(), true, r.retryAfterMillis(), r.redirectAddress());
    }
}
