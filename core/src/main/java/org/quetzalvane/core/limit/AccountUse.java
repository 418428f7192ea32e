package org.quetzalvane.core.limit;

/**
 * Use of one account's allowance as a node knows it, for metrics and operators. Immutable.
 *
 * @param account name of the account
 * @param limitPerSecond units per second that the account may use over all nodes
 * @param usePerSecond units per second granted at this node
 * @param allPerSecond units per second used at all nodes, as the holder last said; {@link #UNKNOWN} if it has not
 *     answered lately
 * @param denied requests denied at this node
 * @param localShare whether the node uses its local share because the holder does not answer
 * @param holder address of the holder of the budget, or an empty string if no hub is known
 */
public record AccountUse(
        String account,
        double limitPerSecond,
        double usePerSecond,
        double allPerSecond,
        long denied,
        boolean localShare,
        String holder) {
    /** Use over all nodes that is not known. */
    public static final double UNKNOWN = -1;
}
