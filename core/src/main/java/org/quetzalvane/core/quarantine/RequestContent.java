package org.quetzalvane.core.quarantine;

import java.util.List;

import net.openhft.hashing.LongHashFunction;

/**
 * What the quarantine knows of a request. Immutable.
 *
 * @param service name of the service
 * @param parts identity of the request, which repeats of it share, and the shared parts of its prompt
 * @param request hash of the request's id, which no other request has
 */
public record RequestContent(String service, PartSet parts, long request) {
    private static final LongHashFunction HASH = LongHashFunction.xx3();

    /**
     * The content of a request.
     *
     * @param identity hash of what makes another request a repeat of this one
     * @param sharedParts ids of the parts of its prompt that other requests may have too
     */
    public static RequestContent of(String service, long identity, List<String> sharedParts, String requestId) {
        return new RequestContent(service, PartSet.of(service, identity, sharedParts), HASH.hashChars(requestId));
    }

    /** The same request without the parts of its prompt. */
    public RequestContent withoutPromptParts() {
        return new RequestContent(service, parts.filter(PartSet::isIdentity), request);
    }
}
