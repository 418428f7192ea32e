package org.quetzalvane.transport;

/**
 * What a client may send and how long it may take.
 *
 * @param headerBytes largest header block
 * @param bodyBytes largest body
 * @param headerTimeoutMs longest time from a request's first byte to the end of its headers
 * @param idleTimeoutMs longest idle time of a kept connection
 */
public record ServerLimits(int headerBytes, int bodyBytes, long headerTimeoutMs, long idleTimeoutMs) {}
