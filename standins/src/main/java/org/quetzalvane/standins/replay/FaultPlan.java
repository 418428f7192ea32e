package org.quetzalvane.standins.replay;

import java.util.List;

import org.quetzalvane.standins.replay.TraceEvent.Fault;
import org.quetzalvane.standins.replay.TraceEvent.FaultKind;

/**
 * Faults that can be added to a trace.
 *
 * <p>Faults start at 60 s of trace time (the second one of KILL_AND_STORE_SLOW at 65 s) and end at 90 s, so that the
 * replay covers the recovery. ENGINE_RESTART and LOADS_FAIL, 20 loads, have no end event; REPORT_LAG, 5000 ms, lasts to
 * the end of the trace.
 */
public enum FaultPlan {
    NONE(),
    ENGINE_RESTART(new Fault(60_000, FaultKind.ENGINE_RESTART, "e1", 0)),
    LOADS_FAIL(new Fault(60_000, FaultKind.FAIL_LOADS, "", 20)),
    STORE_SLOW(new Fault(60_000, FaultKind.STORE_SLOW, "", 8), new Fault(90_000, FaultKind.STORE_SLOW, "", 1)),
    STORE_DOWN(new Fault(60_000, FaultKind.STORE_DOWN, "", 1), new Fault(90_000, FaultKind.STORE_DOWN, "", 0)),
    REPORT_LAG(new Fault(60_000, FaultKind.REPORT_LAG, "", 5_000)),
    NODE_KILL(new Fault(60_000, FaultKind.NODE_KILL, "n1", 0), new Fault(90_000, FaultKind.NODE_START, "n1", 0)),
    NODE_FREEZE(new Fault(60_000, FaultKind.NODE_FREEZE, "n1", 0), new Fault(90_000, FaultKind.NODE_THAW, "n1", 0)),
    LOG_DOWN(new Fault(60_000, FaultKind.LOG_DOWN, "", 1), new Fault(90_000, FaultKind.LOG_DOWN, "", 0)),
    KILL_AND_STORE_SLOW(
            new Fault(60_000, FaultKind.NODE_KILL, "n1", 0),
            new Fault(65_000, FaultKind.STORE_SLOW, "", 8),
            new Fault(90_000, FaultKind.STORE_SLOW, "", 1),
            new Fault(90_000, FaultKind.NODE_START, "n1", 0));

    private final List<Fault> faults;

    FaultPlan(Fault... faults) {
        this.faults = List.of(faults);
    }

    /** Returns a copy of the trace with the faults of this plan. */
    public Trace addTo(Trace trace) {
        return TraceGenerator.withFaults(trace, faults);
    }
}
