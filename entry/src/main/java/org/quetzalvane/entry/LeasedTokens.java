package org.quetzalvane.entry;

import org.quetzalvane.core.fleet.Endpoint;
import org.quetzalvane.core.fleet.EndpointTable;
import org.quetzalvane.core.residency.EngineController;
import org.quetzalvane.core.team.AssignmentLease;

/**
 * Fencing tokens for the orders to one engine, from the lease of its partition; none while the engine asks to be sent
 * nothing. Confined to the event loop.
 *
 * @param lease partitions assigned to this node
 * @param endpoints listed endpoints
 * @param engine the engine
 */
record LeasedTokens(AssignmentLease lease, EndpointTable endpoints, Endpoint engine)
        implements EngineController.TokenSource {

    @Override
    public long current() {
        return endpoints.backoffMs(engine) > 0 ? -1 : lease.tokenForOrder(partition());
    }

    @Override
    public void orderSent() {
        lease.recordOrder(partition());
    }

    @Override
    public void rejected(long token) {
        lease.tokenRejected(token);
    }

    private int partition() {
        return lease.partitionOf(engine.id());
    }
}
