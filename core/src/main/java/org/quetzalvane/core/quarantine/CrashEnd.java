package org.quetzalvane.core.quarantine;

import java.util.List;

/**
 * The end of one endpoint instance. Immutable.
 *
 * @param endpoint id of the endpoint
 * @param bornMs start of the instance, milliseconds since the epoch
 * @param endedNanos time at which its connections broke, on the clock of this node
 * @param begun requests whose responses were in their beginning
 */
public record CrashEnd(String endpoint, long bornMs, long endedNanos, List<Begun> begun) {

    /**
     * A request whose response was in its beginning when its connection broke. Immutable.
     *
     * @param request hash of the request's id
     * @param parts shared parts of its prompt
     * @param beganNanos time at which the response began, or the request was sent if it did not, on the clock of this
     *     node
     * @param ageMs time from then to the break, ms
     * @param withinHead whether a part of the head had arrived and no more
     */
    public record Begun(long request, PartSet parts, long beganNanos, long ageMs, boolean withinHead) {}
}
