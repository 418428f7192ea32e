package org.quetzalvane.standins.replay;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** One line of a trace after the header. Implementations are immutable. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
    @JsonSubTypes.Type(value = TraceEvent.Arrival.class, name = "request"),
    @JsonSubTypes.Type(value = TraceEvent.Fault.class, name = "fault")
})
public sealed interface TraceEvent {

    /** Returns when the event occurs, in milliseconds of trace time. */
    long at();

    /**
     * Arrival of a request.
     *
     * @param at time of arrival, in milliseconds of trace time
     * @param caller name of the caller
     * @param adapter name of the adapter
     * @param version version of the adapter
     * @param kind purpose of the request, such as chat or summary
     * @param prefix prompt; requests with the same prompt share their prefix cache
     * @param tokens length of the response, in tokens
     * @param deadline time from arrival to the deadline, in milliseconds
     * @param idempotent whether the request may run more than once
     * @param priority priority; a higher value goes first
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
     * Start or end of a fault.
     *
     * @param at time of the event, in milliseconds of trace time
     * @param fault kind of fault
     * @param target affected node or engine, or empty
     * @param value magnitude of the fault, such as a factor, a count or milliseconds
     */
    record Fault(long at, FaultKind fault, String target, long value) implements TraceEvent {}

    /** Kinds of fault events. */
    enum FaultKind {
        /** The engine restarts as a new instance without resident adapters. */
        ENGINE_RESTART,
        /** This many of the next loads fail. */
        FAIL_LOADS,
        /** Loads take this many times as long; 1 ends the fault. */
        STORE_SLOW,
        /** No load finishes while the value is 1. */
        STORE_DOWN,
        /** Engine reports are this many milliseconds old. */
        REPORT_LAG,
        NODE_KILL,
        NODE_START,
        NODE_FREEZE,
        NODE_THAW,
        /** The log service is unreachable for all nodes while the value is 1. */
        LOG_DOWN
    }
}
