package org.quetzalvane.core.choice;

/**
 * Number of engines that should hold an adapter, from the requests for it that all nodes have in progress.
 *
 * <p>Load pattern: a few popular adapters whose requests exceed what one engine reads and runs. A copy that is loaded
 * only once requests wait is late by the delay of reports and the load, so that the number follows the demand before
 * a backlog is there. Stateless and thread-safe.
 */
final class CopyCount {
    /**
     * Part of one engine's prefill and of its request slots that requests for one adapter may take. The rest serves
     * the other adapters on the engine and the requests that arrive between two reports.
     */
    private static final double ENGINE_SHARE = 0.35;

    private CopyCount() {}

    /**
     * Number of engines, at least 1.
     *
     * @param requests requests in progress for the adapter
     * @param prefillMs time that an engine takes to read the prompt of one request, ms
     * @param runMs time from the first token to the end of a request, ms
     * @param requestSlots request slots of one engine
     */
    static int wanted(int requests, double prefillMs, double runMs, int requestSlots) {
        double byPrefill = requests * prefillMs / (prefillMs + runMs);
        double bySlots = (double) requests / Math.max(1, requestSlots);
        return (int) Math.max(1, Math.ceil(Math.max(byPrefill, bySlots) / ENGINE_SHARE));
    }
}
