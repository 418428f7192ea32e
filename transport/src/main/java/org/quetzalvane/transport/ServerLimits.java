package org.quetzalvane.transport;

/**
 * Limits of a server for the requests of a client. Immutable.
 *
 * @param maxHeaderBytes largest size of all headers of a request, bytes
 * @param maxBodyBytes largest size of a body, bytes
 * @param headerTimeoutMs longest time from the first byte of a request to the end of its headers, ms
 * @param idleTimeoutMs longest idle time of a connection, and longest time from the end of the headers to the end of
 *     the body, ms
 */
public record ServerLimits(int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {}
