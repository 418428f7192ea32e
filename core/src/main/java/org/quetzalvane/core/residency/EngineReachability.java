package org.quetzalvane.core.residency;

/**
 * Whether the owner of an engine reaches it, from the engine's reports. Not thread-safe.
 *
 * <p>Reports that are missing once are ordinary: a connection was reset, or the engine was silent for a moment.
 */
final class EngineReachability {
    /** Consecutive missing reports from which the engine counts as out of reach. */
    static final int MIN_MISSING_REPORTS = 2;

    private int missing;

    /** Processes that the engine's report was read. */
    void reportRead() {
        missing = 0;
    }

    /** Processes that there was no response, or that of another instance. */
    void reportMissing() {
        missing = Math.min(MIN_MISSING_REPORTS, missing + 1);
    }

    boolean isReachable() {
        return missing < MIN_MISSING_REPORTS;
    }
}
