package org.quetzalvane.core.load;

/**
 * This node's share of the load limits of the weight store.
 *
 * <p>Implementations are thread-safe; their locks are leaves in the lock order.
 */
public interface LoadBudget {

    /**
     * Acquires permission for one load; if there is none now, an implementation may request it for later.
     *
     * @param value value of the load; loads of greater value go first
     * @return whether the load may start now
     */
    boolean tryAcquire(double value);

    /** Releases the permission of a load that ended or did not start. */
    void release();

    /** Sets the action to run, without locks held, when a permission becomes available. */
    default void onAvailable(Runnable action) {}
}
