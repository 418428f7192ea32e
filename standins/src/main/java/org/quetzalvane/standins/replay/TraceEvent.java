package org.quetzalvane.standins.replay;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** A line of a trace after the header. Implementations are immutable. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
    @JsonSubTypes.Type(value = TraceEvent.Arrival.class, name = "request"),
    @JsonSubTypes.Type(value = TraceEvent.Fault.class, name = "fault")
})
public sealed interface TraceEvent {

    /** When it happens, in milliseconds of trace time. */
    long at();

    /**
     * A request arrives.
     *
     * @param at when, in milliseconds of trace time
     * @param caller name of the caller
     * @param adapter name of the adapter
     * @param version version of the adapter
     * @param kind what it is for, such as chat or summary
     * @param prefix prompt prefix that requests may share
     * @param tokens length of the answer, in tokens
     * @param deadline time from arrival to the deadline, in milliseconds
     * @param idempotent whether it may run more than once
     * @param priority higher goes first
     */
    record Arrival(
            long at,
            String caller,
            String adapter,
            int version,
            String kind,
            String prefix,
            int tokens,
            long deadline,
            boolean idempotent,
            int priority)
            implements TraceEvent {}

    /**
     * Something fails or recovers.
     *
     * @param at when, in milliseconds of trace time
     * @param fault what happens
     * @param target node or engine concerned, or empty
     * @param value size of the fault, such as a factor, a count or milliseconds
     */
    record Fault(long at, FaultKind fault, String target, long value) implements TraceEvent {}

    /** Kinds of fault. */
    enum FaultKind {
        /** The engine comes back empty as a new instance. */
        ENGINE_RESTART,
        /** So many of the next loads fail. */
        FAIL_LOADS,
        /** Loads take this many times as long; 1 ends it. */
        STORE_SLOW,
        /** No load ends while the value is 1. */
        STORE_DOWN,
        /** Engine reports are this many milliseconds old. */
        REPORT_LAG,
        NODE_KILL,
        NODE_START,
        NODE_FREEZE,
        NODE_THAW,
        /** The log is unreachable for all while the value is 1. */
        LOG_DOWN
    }
}
