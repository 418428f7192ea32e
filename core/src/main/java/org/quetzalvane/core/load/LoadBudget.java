package org.quetzalvane.core.load;

/**
 * This node's part of the weight store's limits.
 *
 * <p>Implementations are thread-safe; their locks are leaves in the lock order.
 */
public interface LoadBudget {

    /**
     * Takes the permission for one load now, if there is one, and otherwise asks for it.
     *
     * @param value how much the load is worth; the greatest goes first
     */
    boolean tryAcquire(double value);

    /** Ends a load for which permission was taken, or gives an unused permission back. */
    void release();

    /** Sets what runs, without locks held, when a permission has become available. */
    default void onAvailable(Runnable action) {}
}
