package org.quetzalvane.core.load;

import java.util.List;

import org.quetzalvane.core.model.AdapterVersion;
import org.quetzalvane.core.request.Ticket;

/** Values the load of a waited-for adapter; the greatest goes first. Implementations are thread-safe. */
@FunctionalInterface
public interface LoadPolicy {

    /** Value of loading the group's adapter now. */
    double value(Group group, long nowNanos);

    /**
     * Requests that wait for one adapter.
     *
     * @param version the adapter version
     * @param tickets the waiting requests, oldest first
     */
    record Group(AdapterVersion version, List<Ticket> tickets) {}

    /** The adapter whose first request came first. */
    static LoadPolicy firstCome() {
        return (group, now) -> now - group.tickets().get(0).request().arrivalNanos();
    }

    /** The adapter for which most requests wait; among equals the one waited for longest. */
    static LoadPolicy mostWaiting() {
        LoadPolicy age = firstCome();
        return (group, now) -> group.tickets().size() + age.value(group, now) / (1e12 + age.value(group, now));
    }
}
