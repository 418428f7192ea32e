package org.quetzalvane.core.port;

import java.util.List;

import org.quetzalvane.core.model.AdapterVersion;

/**
 * The report of an engine on its adapters. Immutable.
 *
 * @param instance identifier of the instance; changes whenever the engine restarts
 * @param ageMillis age of the report in milliseconds when the engine sent it
 * @param adapters adapter versions that are resident or loading
 */
public record EngineReport(String instance, long ageMillis, List<Residency> adapters) {

    /**
     * The state of an adapter version on the engine. Immutable.
     *
     * @param version the adapter version
     * @param loading whether the adapter version is still loading
     * @param running number of running requests with the adapter version
     */
    public record Residency(AdapterVersion version, boolean loading, int running) {}
}
