package org.quetzalvane.core.load;

/**
 * This node's share of the load limits of the weight store.
 *
 * <p>Implementations are thread-safe; their locks are leaves in the lock order.
 */
public interface LoadBudget {

    /**
     * Acquires a permit for one load. If none is available, returns false; the implementation may request one and run
     * the action of {@link #onAvailable} when it becomes available.
     *
     * @param value value of the load; loads of greater value start first
     * @return whether the load may start now
     */
    boolean tryAcquire(double value);

    /** Releases the permit of a load that ended or did not start. */
    void release();

    /** Sets the action to run, without locks held, when a permit becomes available. */
    default void onAvailable(Runnable action) {}
}
