package org.quetzalvane.core.serve;

import java.util.List;

/**
 * The beginning of an endpoint's answer. Immutable.
 *
 * @param status HTTP status
 * @param headers headers to pass on, without those of a single connection
 * @param notRun whether the endpoint states that it did not run the request
 * @param wrongInstance whether another endpoint, or one without the adapter version, answered at the address
 * @param authentic whether it bears the endpoint's signature and no foreign encoding
 * @param eventStream whether the body is a stream of events
 * @param length length of the body in bytes, or -1 when it is not told
 */
public record ResponseHead(
        int status,
        List<Header> headers,
        boolean notRun,
        boolean wrongInstance,
        boolean authentic,
        boolean eventStream,
        long length) {

    public ResponseHead {
        headers = List.copyOf(headers);
    }

    public boolean success() {
        return status >= 200 && status < 300;
    }

    public boolean serverError() {
        return status >= 500;
    }
}
