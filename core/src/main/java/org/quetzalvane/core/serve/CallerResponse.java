package org.quetzalvane.core.serve;

import org.quetzalvane.core.ResultCode;

/**
 * Port for the response to one request. Confined to the event loop; calls after the caller has disconnected have no
 * effect.
 */
public interface CallerResponse {

    /** Sends a complete response of an endpoint. */
    void send(ResponseHead head, byte[] body);

    /** Begins a response of an endpoint whose body is streamed in chunks. */
    void begin(ResponseHead head);

    /** Writes a chunk; returns false when the caller does not read fast enough. */
    boolean write(byte[] chunk);

    /** Ends a streamed response that is complete. */
    void end();

    /** Breaks off a streamed response that cannot be completed, so that the caller can see that it is truncated. */
    void abort();

    /** Responds with an error of this software itself; a negative retry time is left out of the response. */
    void sendError(ResultCode code, long retryAfterMs);
}
