package org.quetzalvane.core.routes;

/**
 * A client account of the configuration. Immutable.
 *
 * @param name name that endpoints receive
 * @param priority priority of its requests, 0 is the highest; {@link #NO_PRIORITY} if that of the route applies
 * @param allowance what it may use
 */
public record ClientAccount(String name, int priority, Allowance allowance) {
    /** Value of an account that names no priority. */
    public static final int NO_PRIORITY = -1;

    /** Priority of a request of this account on a route with the given one. */
    public int priorityOr(int routePriority) {
        return priority == NO_PRIORITY ? routePriority : priority;
    }
}
