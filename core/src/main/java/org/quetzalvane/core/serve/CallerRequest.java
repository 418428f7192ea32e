package org.quetzalvane.core.serve;

import java.util.List;

import org.quetzalvane.core.routes.AdapterRef;

/**
 * A caller's request, read whole. Immutable; the body is not copied and must not be changed.
 *
 * @param id unique name
 * @param method HTTP method
 * @param host host that callers name
 * @param target path and query, as sent
 * @param path path alone
 * @param headers headers to pass on, without those of a single connection
 * @param body body, whole
 * @param deadlineMs time that the caller will wait, in milliseconds, or -1 when it does not say
 * @param adapter adapter asked for, with an empty adapter name for the base model; null for a plain service
 * @param tokens size of the generation asked for
 * @param lastEventId event after which the caller wants the stream to go on, or null
 */
public record CallerRequest(
        String id,
        String method,
        String host,
        String target,
        String path,
        List<Header> headers,
        byte[] body,
        long deadlineMs,
        AdapterRef adapter,
        TokenCounts tokens,
        String lastEventId) {

    public CallerRequest {
        headers = List.copyOf(headers);
    }
}
