package org.quetzalvane.core.serve;

import org.quetzalvane.core.ResultCode;

/**
 * Port for the response to one request. Confined to the event loop; calls after the caller has disconnected have no
 * effect.
 */
public interface CallerResponse {

    /**
     * Whether the caller still waits. Looks at its connection, since a disconnect may have arrived that was not
     * reported yet; then {@link RequestFlow#callerDisconnected()} is called within this call.
     */
    boolean callerPresent();

    /** Sends a complete response of an endpoint. */
    void send(ResponseHead head, byte[] body);

    /** Begins a response of an endpoint whose body is streamed in chunks. */
    void begin(ResponseHead head);

    /**
     * Queues a chunk. Returns false if the caller reads too slowly; the chunk is queued all the same, and the endpoint
     * should not be read until {@link RequestFlow#callerWritable()}.
     */
    boolean write(byte[] chunk);

    /** Ends a streamed response that is complete. */
    void end();

    /** Breaks off a streamed response that cannot be completed, so that the caller can see that it is truncated. */
    void abort();

    /**
     * Sends an error response of this node, also for a request that may have run; {@code retryAfterMs} below 0 means
     * that the response states no retry time.
     */
    void sendError(ResultCode code, long retryAfterMs);
}
