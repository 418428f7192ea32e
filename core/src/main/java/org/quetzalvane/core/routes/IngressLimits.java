package org.quetzalvane.core.routes;

/**
 * What a caller may send and how long it may take; sizes in bytes, times in milliseconds. Immutable.
 *
 * @param maxHeaderBytes largest header block
 * @param maxBodyBytes largest body
 * @param headerTimeoutMs longest time for the headers of a request
 * @param idleTimeoutMs longest idle time of a kept connection
 */
public record IngressLimits(int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {

    /** In force until the first configuration arrives; the platform's published example values. */
    public static final IngressLimits DEFAULT = new IngressLimits(16_384, 4_194_304, 3_000, 15_000);
}
