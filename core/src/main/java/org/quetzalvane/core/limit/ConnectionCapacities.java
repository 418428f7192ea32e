package org.quetzalvane.core.limit;

/**
 * Number of connections that each listener of a node may have at a time, so that clients of one listener leave
 * descriptors to the others, to endpoints, to the store and to peers. Immutable.
 *
 * @param callers connections of callers
 * @param directory connections to the directory
 * @param readiness connections of readiness checks
 */
public record ConnectionCapacities(int callers, int directory, int readiness) {
    /** Descriptors that are kept for files. */
    private static final int FILES = 200;

    private static final double CALLERS_SHARE = 0.75;
    private static final double DIRECTORY_SHARE = 1.0 / 16;
    private static final double READINESS_SHARE = 1.0 / 64;

    /**
     * Capacities of a process.
     *
     * @param descriptors most descriptors that it may have open
     */
    public static ConnectionCapacities of(int descriptors) {
        int sockets = Math.max(0, descriptors - FILES);
        return new ConnectionCapacities(
                capacity(sockets, CALLERS_SHARE),
                capacity(sockets, DIRECTORY_SHARE),
                capacity(sockets, READINESS_SHARE));
    }

    private static int capacity(int sockets, double share) {
        return Math.max(1, (int) (sockets * share));
    }
}
