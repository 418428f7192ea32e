package org.quetzalvane.core.event;

/**
 * A numbered event recorded by a node, with its time and subject. Immutable.
 *
 * @param time hybrid logical time: milliseconds since the epoch, shifted left by 16 bits, plus a counter
 * @param node name of the node that recorded the event
 * @param code kind of the event
 * @param subject identifier of the object of the event: request, engine, adapter, node, stream or configuration object
 * @param detail free text for operators
 */
public record Event(long time, String node, EventCode code, String subject, String detail) {

    /** The wall-clock part of the time, in milliseconds since the epoch. */
    public long wallMillis() {
        return time >>> HybridClock.COUNTER_BITS;
    }
}
