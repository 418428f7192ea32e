package org.quetzalvane.core.quarantine;

import java.util.List;

/**
 * What one node has seen of an endpoint instance whose connections broke, for other nodes. Immutable; the lists must
 * not be changed.
 *
 * @param service service of the endpoint
 * @param endpoint id of the endpoint
 * @param bornMs start of the instance, milliseconds since the epoch
 * @param broken number of attempts that broke at the node so far
 * @param refused whether a connection to the instance was refused
 * @param ageMs time since the first of them broke, ms
 * @param begun requests that were in their beginning
 */
public record InstanceReport(
        String service,
        String endpoint,
        long bornMs,
        int broken,
        boolean refused,
        long ageMs,
        List<BegunRequest> begun) {

    /**
     * A request whose response was in its beginning.
     *
     * @param request hash of the request's id
     * @param parts hashes of the shared parts of its prompt
     * @param ageMs time from the beginning of its response, or from its send, to the break, ms
     * @param brokeMs time since the break, ms
     * @param withinHead whether a part of the head of its response had arrived and no more
     */
    public record BegunRequest(long request, List<Long> parts, long ageMs, long brokeMs, boolean withinHead) {}
}
