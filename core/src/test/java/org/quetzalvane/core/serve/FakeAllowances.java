package org.quetzalvane.core.serve;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import org.quetzalvane.core.limit.AccountAllowances;
import org.quetzalvane.core.limit.Permit;
import org.quetzalvane.core.routes.ClientAccount;

/** Fake that records what is acquired, charged and given back, and grants at once unless it is held. */
final class FakeAllowances implements AccountAllowances {
    final List<String> calls = new ArrayList<>();
    /** Units acquired and charged less those given back. */
    long used;

    boolean held;
    private Consumer<Permit> pending;
    private long pendingCost;

    /** Decides the acquisition that is held. */
    void decide(Permit permit) {
        used += permit.granted() ? pendingCost : 0;
        pending.accept(permit);
    }

    @Override
    public void acquire(ClientAccount a, long configVersion, long cost, Consumer<Permit> done) {
        calls.add("acquire " + a.name() + " " + cost);
        pending = done;
        pendingCost = cost;
        if (!held) {
            decide(Permit.UNLIMITED);
        }
    }

    @Override
    public void charge(ClientAccount a, long configVersion, long cost) {
        calls.add("charge " + a.name() + " " + cost);
        used += cost;
    }

    @Override
    public void giveBack(ClientAccount a, long cost) {
        calls.add("give back " + a.name() + " " + cost);
        used -= cost;
    }
}
