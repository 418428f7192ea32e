package org.quetzalvane.core.limit;

import java.util.function.Consumer;

import org.quetzalvane.core.fleet.Endpoint;

/** Port for permits to send requests to endpoints that named a limit. Confined to the event loop. */
public interface EndpointPermits {
    /** Permits of a node whose endpoints name no limit. */
    EndpointPermits UNLIMITED = new EndpointPermits() {
        @Override
        public long waitMs(Endpoint e) {
            return 0;
        }

        @Override
        public long intervalMs(Endpoint e) {
            return 0;
        }

        @Override
        public void acquire(Endpoint e, int rank, long maxWaitMs, Consumer<Permit> done) {
            done.accept(Permit.UNLIMITED);
        }

        @Override
        public void giveBack(Endpoint e) {}
    };

    /** Expected wait for a permit as far as this node knows, ms; 0 if the endpoint has no limit. */
    long waitMs(Endpoint e);

    /** Time between two permits, ms; 0 if the endpoint has no limit. */
    long intervalMs(Endpoint e);

    /**
     * Acquires a permit for one request; without a limit it is granted at once.
     *
     * @param rank urgency, lowest number first
     * @param maxWaitMs longest wait, ms
     * @param done called once, possibly before this method returns
     */
    void acquire(Endpoint e, int rank, long maxWaitMs, Consumer<Permit> done);

    /** Returns a permit under which nothing was sent. */
    void giveBack(Endpoint e);
}
