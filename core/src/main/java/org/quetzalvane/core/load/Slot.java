package org.quetzalvane.core.load;

import org.quetzalvane.core.model.AdapterVersion;

/**
 * Known state of one adapter slot of an engine.
 *
 * <p>Invariant: an adapter slot with running requests, of this owner or an earlier one, is never unloaded. Guarded by
 * the lock of its {@link EngineDispatcher}.
 */
public final class Slot {
    private final AdapterVersion version;
    private State state;
    private int activeRequests;
    private boolean inherited;
    private long lastUsedAtNanos;
    private long changedAtNanos;
    private boolean countsAgainstBudget;

    /** State of an adapter slot; in doubt means that the response to an order was lost. */
    public enum State {
        LOADING,
        RESIDENT,
        UNLOADING,
        IN_DOUBT
    }

    Slot(AdapterVersion version, State state, long nowNanos) {
        this.version = version;
        this.state = state;
        this.lastUsedAtNanos = nowNanos;
        this.changedAtNanos = nowNanos;
    }

    public AdapterVersion version() {
        return version;
    }

    public State state() {
        return state;
    }

    public int activeRequests() {
        return activeRequests;
    }

    /** Returns whether requests of an earlier owner may still run on it. */
    public boolean inherited() {
        return inherited;
    }

    public long lastUsedAtNanos() {
        return lastUsedAtNanos;
    }

    /** Returns the time of the last change of state; a report taken earlier says nothing about the state. */
    long changedAtNanos() {
        return changedAtNanos;
    }

    void state(State newState, long nowNanos) {
        state = newState;
        changedAtNanos = nowNanos;
    }

    /** Returns whether the load of this slot still counts against the load budget. */
    boolean countsAgainstBudget() {
        return countsAgainstBudget;
    }

    void countsAgainstBudget(boolean counts) {
        countsAgainstBudget = counts;
    }

    void inherited(boolean newInherited) {
        inherited = newInherited;
    }

    void requestStarted(long nowNanos) {
        activeRequests++;
        lastUsedAtNanos = nowNanos;
    }

    void requestEnded(long nowNanos) {
        activeRequests--;
        lastUsedAtNanos = nowNanos;
    }
}
