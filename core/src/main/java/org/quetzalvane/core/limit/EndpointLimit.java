package org.quetzalvane.core.limit;

/**
 * What an answer of an endpoint instance says about its limit, as sent to other nodes. Immutable.
 *
 * @param endpoint id of the endpoint
 * @param bornMs start of the instance, milliseconds since the epoch
 * @param perSecond requests per second that it takes from all nodes; {@link #NONE} if it names no limit
 * @param sentAgeMs time since the request was sent that was answered, milliseconds
 * @param ageMs time since the answer arrived, milliseconds
 */
public record EndpointLimit(String endpoint, long bornMs, double perSecond, long sentAgeMs, long ageMs) {
    /** Value of an endpoint that names no limit. */
    public static final double NONE = -1;

    boolean isNamed() {
        return perSecond >= 0;
    }
}
