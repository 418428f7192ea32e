package org.quetzalvane.core.serve;

import java.util.ArrayList;
import java.util.List;

import org.quetzalvane.core.fleet.Endpoint;
import org.quetzalvane.core.quarantine.PromptQuarantine;
import org.quetzalvane.core.quarantine.Registration;
import org.quetzalvane.core.quarantine.RequestContent;
import org.quetzalvane.core.quarantine.Verdict;

/** Fake that records what it is told and refuses or tries requests as the test says. */
final class FakeQuarantine implements PromptQuarantine {
    final List<String> told = new ArrayList<>();
    Verdict verdict = Verdict.ADMIT;
    private Runnable condemned = () -> {};

    /** Condemns the parts of the request that is watched. */
    void condemn() {
        verdict = Verdict.refuse(4_000, "test");
        condemned.run();
    }

    @Override
    public Verdict check(RequestContent request) {
        told.add("check " + request);
        Verdict v = verdict;
        if (v.kind() == Verdict.Kind.TRIAL) {
            verdict = Verdict.refuse(4_000, "tried");
        }
        return v;
    }

    @Override
    public void recordPastBeginning(RequestContent request) {
        told.add("past " + request);
    }

    @Override
    public void recordBroken(Endpoint endpoint, RequestContent request, long beginningMs, boolean withinHead) {
        told.add("broken " + endpoint.id() + (withinHead ? " within its head " : " ") + beginningMs + " " + request);
    }

    @Override
    public void recordUnreachable(Endpoint endpoint) {
        told.add("unreachable " + endpoint.id());
    }

    @Override
    public Registration watch(RequestContent request, Runnable callback) {
        condemned = callback;
        return () -> condemned = () -> {};
    }
}
