package org.quetzalvane.entry;

import java.util.function.Consumer;

import org.quetzalvane.core.limit.AccountAllowances;
import org.quetzalvane.core.limit.Permit;
import org.quetzalvane.core.routes.ClientAccount;

/** Allowances of another source, counted in the metrics by account. Confined to the event loop. */
final class CountedAllowances implements AccountAllowances {
    private final AccountAllowances source;
    private final EntryMetrics metrics;

    CountedAllowances(AccountAllowances source, EntryMetrics metrics) {
        this.source = source;
        this.metrics = metrics;
    }

    @Override
    public void acquire(ClientAccount a, long configVersion, long cost, Consumer<Permit> done) {
        source.acquire(a, configVersion, cost, permit -> {
            if (permit.granted()) {
                metrics.countAdmitted(a.name());
                metrics.countUnits(a.name(), cost);
            }
            done.accept(permit);
        });
    }

    @Override
    public void charge(ClientAccount a, long configVersion, long cost) {
        metrics.countUnits(a.name(), cost);
        source.charge(a, configVersion, cost);
    }

    @Override
    public void giveBack(ClientAccount a, long cost) {
        metrics.countUnits(a.name(), -cost);
        source.giveBack(a, cost);
    }
}
