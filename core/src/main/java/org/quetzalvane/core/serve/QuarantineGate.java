package org.quetzalvane.core.serve;

import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.quarantine.PromptQuarantine;
import org.quetzalvane.core.quarantine.Registration;
import org.quetzalvane.core.quarantine.RequestContent;
import org.quetzalvane.core.quarantine.Verdict;

/**
 * Asks the quarantine whether a request may be sent: when an endpoint is selected, so that a condemned one waits for
 * nothing, and again when it is sent. A request admitted as a trial is sent once. Confined to the event loop.
 */
final class QuarantineGate {
    private final PromptQuarantine quarantine;
    private final RequestContent content;
    private Registration watch = () -> {};
    private boolean trialPending;

    QuarantineGate(PromptQuarantine quarantine, RequestContent content) {
        this.quarantine = quarantine;
        this.content = content;
    }

    /** Calls back once if the request becomes condemned before {@link #close}. */
    void watch(Runnable condemned) {
        watch = quarantine.watch(content, condemned);
    }

    Verdict check() {
        if (trialPending) {
            return Verdict.TRIAL;
        }
        Verdict v = quarantine.check(content);
        trialPending = v.kind() == Verdict.Kind.TRIAL;
        return v;
    }

    /** The request is sent now. */
    void sent() {
        trialPending = false;
    }

    void close() {
        watch.close();
    }

    /** Why the request must not be sent, or null. */
    Refusal refusal() {
        Verdict v = check();
        return v.maySend() ? null : new Refusal(ResultCode.PROMPT_QUARANTINED, v.retryAfterMs(), v.evidence());
    }
}
