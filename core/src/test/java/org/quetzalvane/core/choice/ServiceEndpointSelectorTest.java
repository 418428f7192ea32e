package org.quetzalvane.core.choice;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.quetzalvane.core.fleet.Endpoint;
import org.quetzalvane.core.limit.EndpointPermits;
import org.quetzalvane.core.time.ManualScheduler;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Hosts that send short requests to a few endpoints, and learn each other's endpoint loads long after the requests have
 * ended.
 */
class ServiceEndpointSelectorTest {
    private static final int ENDPOINTS = 4;
    private static final int SLOTS = 6;
    /** Requests that an endpoint queues before it refuses others. */
    private static final int QUEUE = 6;
    /** Share of the arrivals that endpoints may refuse because hosts send to the same one at once. */
    private static final double MAX_REFUSED = 0.02;

    private final ManualScheduler clock = new ManualScheduler();
    private final List<Endpoint> endpoints = new ArrayList<>();
    private final List<Host> hosts = new ArrayList<>();
    private final Map<String, Integer> running = new HashMap<>();
    private int refused;

    /**
     * Parameters: hosts, age of the load reports, duration of a request, requests of all hosts in a second. The first
     * row is the pattern of {@code kandakar-orders-grown} on a day of high load.
     */
    @ParameterizedTest
    @CsvSource({"58, 600, 69, 200", "95, 600, 86, 160", "9, 300, 43, 300"})
    void endpointsAreNotOverrunByHostsThatKnowEachOthersLoadLate(int count, int ageMs, int runMs, int perSecond) {
        for (int i = 0; i < ENDPOINTS; i++) {
            endpoints.add(new Endpoint(
                    "e" + i, "s", "127.0.0.1", i, "zone-" + i, "v1", Endpoint.State.READY, SLOTS, 1, Map.of()));
        }
        for (int i = 0; i < count; i++) {
            hosts.add(new Host("zone-" + i % ENDPOINTS));
        }
        int requests = 20 * perSecond;
        for (int i = 0; i < requests; i++) {
            if (i % (perSecond * ageMs / 1_000) == 0) {
                exchangeLoads();
            }
            hosts.get((i * 31 + i / 7) % count).send("request-" + i, runMs);
            clock.advance(Duration.ofNanos(1_000_000_000L / perSecond));
        }
        assertThat((double) refused / requests).isLessThan(MAX_REFUSED);
    }

    private void exchangeLoads() {
        for (int from = 0; from < hosts.size(); from++) {
            Map<String, EndpointLoads.Load> own = hosts.get(from).loads.sum(List.of());
            for (int to = 0; to < hosts.size(); to++) {
                if (to != from) {
                    hosts.get(to).loads.updatePeer("h" + from, own);
                }
            }
        }
    }

    private final class Host {
        private final EndpointLoads loads = new EndpointLoads();
        private final ServiceEndpointSelector selector;

        Host(String zone) {
            selector = new ServiceEndpointSelector(loads, new OutlierDetector(clock), EndpointPermits.UNLIMITED, zone);
        }

        void send(String request, int runMs) {
            String e = selector.select(endpoints, Set.of(), request).id();
            if (running.getOrDefault(e, 0) >= SLOTS + QUEUE) {
                refused++;
                return;
            }
            running.merge(e, 1, Integer::sum);
            loads.requestStarted(e, 0);
            clock.schedule(Duration.ofMillis(runMs), () -> {
                running.merge(e, -1, Integer::sum);
                loads.requestEnded(e, 0);
            });
        }
    }
}
