package org.quetzalvane.core.serve;

import java.util.List;

import org.quetzalvane.core.routes.AdapterRef;

/**
 * A request of a caller, read completely. Immutable; the body is not copied and must not be changed.
 *
 * @param id unique id
 * @param method HTTP method
 * @param host host name that the caller used
 * @param target path and query, as received
 * @param path path alone
 * @param headers headers to pass on, without hop-by-hop headers and without {@code credentials}
 * @param body complete body
 * @param timeoutMs time that the caller will wait, in milliseconds, or -1 if the request does not state one
 * @param adapter requested adapter, with an empty adapter name for the base model; null for a plain service
 * @param tokenCounts prompt and output tokens stated by the caller
 * @param lastEventId id of the event after which the stream is to continue, or null
 * @param resumes id of the request that brought the first event of the stream to be continued, or null
 * @param sharedParts ids of the parts of the prompt that other requests may have too, in order; empty if it has none
 * @param credentials headers that state who the caller is
 */
public record CallerRequest(
        String id,
        String method,
        String host,
        String target,
        String path,
        List<Header> headers,
        byte[] body,
        long timeoutMs,
        AdapterRef adapter,
        TokenCounts tokenCounts,
        String lastEventId,
        String resumes,
        List<String> sharedParts,
        Credentials credentials) {

    public CallerRequest {
        headers = List.copyOf(headers);
        sharedParts = List.copyOf(sharedParts);
    }
}
