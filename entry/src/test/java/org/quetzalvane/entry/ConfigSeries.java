package org.quetzalvane.entry;

import java.util.Map;
import java.util.TreeMap;

import org.quetzalvane.platform.standin.KeptCaller.Response;
import org.quetzalvane.platform.standin.SampleConfig;

/**
 * Configurations that follow each other: each adds a route, drops the one that was added two before, and moves a third
 * one to another service. A response shows which of them may be in force. Stateless.
 */
final class ConfigSeries {
    /** Service of the route that moves, in even configurations; it has the steady route in all. */
    static final String EVEN_SERVICE = "plain";

    /** Service of the route that moves, in odd configurations. */
    static final String ODD_SERVICE = "other";

    /** Path on a route of all configurations. */
    static final String STEADY = "/again/x";

    /** Path on the route that moves. */
    static final String MOVING = "/moving/x";

    /** Path on no route of any configuration. */
    static final String UNKNOWN = "/unknown/x";

    /** Number of configurations that have the route that one of them added. */
    private static final int KEPT = 2;

    private ConfigSeries() {}

    /** Configuration of the given place in the series, from 0. */
    static String json(int index, int version) {
        Map<String, String> routes = new TreeMap<>();
        routes.put("moving", index % 2 == 0 ? EVEN_SERVICE : ODD_SERVICE);
        for (int i = Math.max(0, index - KEPT + 1); i <= index; i++) {
            routes.put("added-" + i, EVEN_SERVICE);
        }
        return SampleConfig.withRoutes(version, routes, ODD_SERVICE);
    }

    /** Path on the route that a configuration of the series adds. */
    static String added(int index) {
        return "/added-" + index + "/x";
    }

    /** Whether a node may send a response if a configuration of the series is in force. */
    static boolean allows(int index, String path, Response r) {
        if (path.equals(STEADY)) {
            return r.status() == 200;
        }
        if (path.equals(UNKNOWN)) {
            return r.status() == 404;
        }
        if (path.equals(MOVING)) {
            return r.body().equals(index % 2 == 0 ? EVEN_SERVICE : ODD_SERVICE);
        }
        int added = Integer.parseInt(path.substring("/added-".length(), path.lastIndexOf('/')));
        return r.status() == (added <= index && index < added + KEPT ? 200 : 404);
    }
}
