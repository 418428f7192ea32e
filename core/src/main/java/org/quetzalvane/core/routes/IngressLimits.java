package org.quetzalvane.core.routes;

/**
 * Limits on requests of callers; sizes in bytes, times in milliseconds. Immutable.
 *
 * @param maxHeaderBytes largest header block
 * @param maxBodyBytes largest body
 * @param headerTimeoutMs timeout for the headers of a request
 * @param idleTimeoutMs idle timeout of a keep-alive connection
 */
public record IngressLimits(int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {

    /** In force until the first configuration arrives; the example values published by the platform. */
    public static final IngressLimits DEFAULT = new IngressLimits(16_384, 4_194_304, 3_000, 15_000);
}
