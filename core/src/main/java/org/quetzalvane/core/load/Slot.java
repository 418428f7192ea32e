package org.quetzalvane.core.load;

import org.quetzalvane.core.model.AdapterVersion;

/**
 * One adapter slot of an engine, as its owner knows it.
 *
 * <p>Invariant: a slot with users, inherited or own, is never unloaded. Guarded by the lock of its
 * {@link EngineDispatcher}.
 */
public final class Slot {
    private final AdapterVersion version;
    private State state;
    private int users;
    private boolean inherited;
    private long lastUsedNanos;
    private long changedNanos;
    private boolean holdsPermit;

    /** What is known of the slot; in doubt means that the answer to an order was lost. */
    public enum State {
        LOADING,
        RESIDENT,
        UNLOADING,
        IN_DOUBT
    }

    Slot(AdapterVersion version, State state, long nowNanos) {
        this.version = version;
        this.state = state;
        this.lastUsedNanos = nowNanos;
        this.changedNanos = nowNanos;
    }

    public AdapterVersion version() {
        return version;
    }

    public State state() {
        return state;
    }

    public int users() {
        return users;
    }

    /** Whether requests of an earlier owner may still run on it. */
    public boolean inherited() {
        return inherited;
    }

    public long lastUsedNanos() {
        return lastUsedNanos;
    }

    /** When the state last changed; a report taken earlier says nothing about it. */
    long changedNanos() {
        return changedNanos;
    }

    void state(State newState, long nowNanos) {
        state = newState;
        changedNanos = nowNanos;
    }

    /** Whether a load of this slot still counts against the load budget. */
    boolean holdsPermit() {
        return holdsPermit;
    }

    void holdsPermit(boolean holds) {
        holdsPermit = holds;
    }

    void inherited(boolean mayBeUsed) {
        inherited = mayBeUsed;
    }

    void use(long nowNanos) {
        users++;
        lastUsedNanos = nowNanos;
    }

    void unuse(long nowNanos) {
        users--;
        lastUsedNanos = nowNanos;
    }
}
