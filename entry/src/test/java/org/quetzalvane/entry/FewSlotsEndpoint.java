package org.quetzalvane.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Consumer;

import org.quetzalvane.platform.standin.CallerClient;
import org.quetzalvane.platform.standin.EndpointStandIn;
import org.quetzalvane.transport.ServerExchange;

/**
 * Endpoint that runs a few requests at a time for a fixed time each and refuses others, or refuses all and asks to be
 * sent nothing for a time. It keeps the time of each request that reached it. Thread-safe.
 */
final class FewSlotsEndpoint implements AutoCloseable {
    private static final int SLOTS = 4;
    private static final int EVENTS = 3;
    private static final Duration RUN_TIME = Duration.ofMillis(200);

    private final EndpointStandIn server;
    private final String service;
    private final Queue<Arrival> arrivals = new ConcurrentLinkedQueue<>();
    private final Set<String> ran = ConcurrentHashMap.newKeySet();
    private final Consumer<Arrival> listener;
    private final int retryAfterS;
    private int running;
    private int overflows;

    /** Request that reached the endpoint, and the time. */
    record Arrival(String id, long nanos) {
        String node() {
            return ClosedLoopCallers.node(id);
        }
    }

    /**
     * Starts an endpoint.
     *
     * @param retryAfterS time for which it asks each node to send nothing, seconds; 0 to run requests
     * @param listener receives each request that reached the endpoint, on its event loop
     */
    FewSlotsEndpoint(EndpointStandIn.Instance instance, String service, int retryAfterS, Consumer<Arrival> listener) {
        this.service = service;
        this.retryAfterS = retryAfterS;
        this.listener = listener;
        server = new EndpointStandIn(instance, service, "v1", (self, x) -> serve(self, x));
    }

    String entry() {
        return server.entry();
    }

    void leave() {
        server.leave();
    }

    List<Arrival> arrivals() {
        return new ArrayList<>(arrivals);
    }

    /** Ids of the requests that it began to run. */
    Set<String> ran() {
        return Set.copyOf(ran);
    }

    /** Number of requests refused because all slots were taken. */
    synchronized int overflows() {
        return overflows;
    }

    /** Ends this instance, with its address free for the next one. */
    void end() throws InterruptedException {
        server.freeAddress();
        server.close();
    }

    @Override
    public void close() {
        server.close();
    }

    private void serve(EndpointStandIn self, ServerExchange x) {
        Arrival a = new Arrival(x.head().headers().get(CallerClient.ID_HEADER), System.nanoTime());
        arrivals.add(a);
        if (retryAfterS > 0) {
            self.refuse(x, "Retry-After", Integer.toString(retryAfterS));
        } else if (takeSlot()) {
            ran.add(a.id());
            self.schedule(RUN_TIME, () -> {
                freeSlot();
                respond(self, x);
            });
        } else {
            self.refuse(x);
        }
        listener.accept(a);
    }

    private void respond(EndpointStandIn self, ServerExchange x) {
        if (service.equals("engines")) {
            self.respondWithEvents(x, 1, EVENTS, true);
        } else {
            self.respondComplete(x, "ok");
        }
    }

    private synchronized boolean takeSlot() {
        if (running == SLOTS) {
            overflows++;
            return false;
        }
        running++;
        return true;
    }

    private synchronized void freeSlot() {
        running--;
    }
}
