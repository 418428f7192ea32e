package org.quetzalvane.core.serve;

import java.util.List;

import org.quetzalvane.core.choice.EndpointLoads;
import org.quetzalvane.core.choice.OutlierDetector;
import org.quetzalvane.core.fleet.Endpoint;
import org.quetzalvane.core.routes.Route;
import org.quetzalvane.core.routes.RouteKind;

/**
 * Prefers engines of established software versions ({@link ServedVersions}) for streams that can be resumed.
 *
 * <p>Load pattern: the first engines of a new version join while those of the old one serve. If the old ones run out
 * of room, for instance because a release replaces them quickly, the new version is established before its time.
 * Stateless.
 */
final class StreamEnginePreference {
    /** Part of the request slots up to which an engine has room: beyond it, tokens come noticeably slower. */
    private static final double ROOM_SLOTS_FACTOR = 0.75;

    private final ServedVersions versions;
    private final OutlierDetector outliers;
    private final EndpointLoads loads;

    StreamEnginePreference(ServedVersions versions, OutlierDetector outliers, EndpointLoads loads) {
        this.versions = versions;
        this.outliers = outliers;
        this.loads = loads;
    }

    /** The engines among the usable ones that a request is to be sent to if one of them can serve it. */
    List<Endpoint> preferred(List<Endpoint> usable, Route route) {
        if (route.kind() != RouteKind.STREAMING || !route.retryable()) {
            return usable;
        }
        List<Endpoint> established =
                usable.stream().filter(versions::isEstablished).toList();
        if (established.size() == usable.size()) {
            return usable;
        }
        if (established.stream().noneMatch(this::hasRoom)) {
            versions.establish(usable.get(0).service());
        }
        return established.isEmpty() ? usable : established;
    }

    private boolean hasRoom(Endpoint e) {
        return !outliers.isSuspended(e.id()) && loads.total(e.id()).requests() < ROOM_SLOTS_FACTOR * e.requestSlots();
    }
}
