package org.quetzalvane.core.port;

import java.util.List;

import org.quetzalvane.core.model.AdapterVersion;

/**
 * What an engine says of itself. Immutable.
 *
 * @param instance identifier that changes whenever the engine restarts
 * @param ageMillis how long before the answer the report was taken
 * @param adapters adapter versions that are resident or loading
 */
public record EngineReport(String instance, long ageMillis, List<Residency> adapters) {

    /**
     * One adapter version on the engine, with its number of running requests. Immutable.
     *
     * @param version the adapter version
     * @param loading whether it is still loading
     * @param running number of running requests
     */
    public record Residency(AdapterVersion version, boolean loading, int running) {}
}
