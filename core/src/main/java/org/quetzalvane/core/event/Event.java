package org.quetzalvane.core.event;

/**
 * One entry of the time line. Immutable.
 *
 * @param time hybrid logical time: milliseconds since the epoch shifted left by 16 bits, plus a counter
 * @param node name of the node that recorded it
 * @param code what happened
 * @param subject the request, engine, adapter or configuration object concerned
 * @param detail free text for people
 */
public record Event(long time, String node, EventCode code, String subject, String detail) {

    /** The wall clock part of the time, in milliseconds since the epoch. */
    public long wallMillis() {
        return time >>> HybridClock.COUNTER_BITS;
    }
}
