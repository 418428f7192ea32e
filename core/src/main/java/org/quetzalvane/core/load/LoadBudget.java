package org.quetzalvane.core.load;

/**
 * This node's part of the weight store's limits.
 *
 * <p>Implementations are thread-safe; their locks are leaves in the lock order.
 */
public interface LoadBudget {

    /** Takes the permission for one load now, if there is one. */
    boolean tryAcquire();

    /** Ends a load for which permission was taken. */
    void release();

    /** Nanoseconds until a permission may be free; 0 when one is free now. */
    long nanosUntilFree();
}
