package org.quetzalvane.core.serve;

import org.quetzalvane.core.ResultCode;

/** Port to the caller of one request. Confined to the event loop; calls after the caller has left do nothing. */
public interface CallerResponse {

    /** Sends an endpoint's answer whole. */
    void send(ResponseHead head, byte[] body);

    /** Begins an endpoint's answer whose body follows in parts. */
    void begin(ResponseHead head);

    /** Sends a part; false when the caller does not keep up. */
    boolean write(byte[] part);

    /** Ends an answer that is whole. */
    void end();

    /** Breaks off an answer that cannot be made whole; the caller sees that it is not. */
    void abort();

    /** Answers in the product's own name; a negative retry time is left out. */
    void refuse(ResultCode code, long retryAfterMs);
}
