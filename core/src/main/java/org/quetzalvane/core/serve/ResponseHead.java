package org.quetzalvane.core.serve;

import java.util.List;

/**
 * Status and headers of an endpoint's response. Immutable.
 *
 * @param status HTTP status
 * @param headers headers to pass on, without hop-by-hop headers
 * @param notRun whether the endpoint states that it did not run the request
 * @param misdirected whether the response has status 421: another instance listens at the address, or the adapter
 *     version is not resident
 * @param authentic whether the response echoes the attempt id, is signed by the endpoint and has no content encoding
 * @param eventStream whether the body is a stream of server-sent events
 * @param length length of the body in bytes, or -1 if unknown
 * @param delimited whether the body has a length or is chunked; otherwise it ends with its connection
 */
public record ResponseHead(
        int status,
        List<Header> headers,
        boolean notRun,
        boolean misdirected,
        boolean authentic,
        boolean eventStream,
        long length,
        boolean delimited) {

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
