package org.quetzalvane.core.quarantine;

import java.util.List;

/**
 * Parts of one request whose response got past its beginning, for other nodes. Immutable; the list must not be changed.
 *
 * @param service service of the parts
 * @param parts hashes of those parts of the request that are in evidence or condemned
 * @param passAgeMs time since the response got past its beginning, ms
 * @param sentAgeMs time since the request was sent, ms; -1 if unknown
 */
public record Clearance(String service, List<Long> parts, long passAgeMs, long sentAgeMs) {}
