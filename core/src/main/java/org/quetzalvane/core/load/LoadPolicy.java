package org.quetzalvane.core.load;

import java.util.List;
import java.util.Optional;

import org.quetzalvane.core.model.AdapterVersion;
import org.quetzalvane.core.request.Ticket;

/** Chooses which waited-for adapter is loaded next. Implementations are thread-safe. */
@FunctionalInterface
public interface LoadPolicy {

    /** The group whose adapter is to be loaded, among adapters that are not on the engine. */
    Optional<Group> next(List<Group> waiting, long nowNanos);

    /**
     * Requests that wait for one adapter, oldest first.
     *
     * @param version the adapter version
     * @param tickets the waiting requests, oldest first
     */
    record Group(AdapterVersion version, List<Ticket> tickets) {}

    /** The adapter whose first request came first. */
    static LoadPolicy firstCome() {
        return (waiting, now) -> waiting.stream()
                .min(java.util.Comparator.comparingLong(
                        g -> g.tickets().get(0).request().arrivalNanos()));
    }
}
