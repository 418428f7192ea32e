package org.quetzalvane.core.event;

/**
 * An entry of the timeline. Immutable.
 *
 * @param time hybrid logical time: milliseconds since the epoch, shifted left by 16 bits, plus a counter
 * @param node name of the node that recorded the event
 * @param code what happened
 * @param subject identifier of the request, engine, adapter or configuration object
 * @param detail free text for operators
 */
public record Event(long time, String node, EventCode code, String subject, String detail) {

    /** The wall-clock part of the time, in milliseconds since the epoch. */
    public long wallMillis() {
        return time >>> HybridClock.COUNTER_BITS;
    }
}
