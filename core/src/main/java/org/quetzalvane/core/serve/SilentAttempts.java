package org.quetzalvane.core.serve;

import java.util.function.Supplier;

/**
 * The replacement of the silent attempt of one request, of which there is at most one at a time. Confined to the event
 * loop.
 */
final class SilentAttempts {
    private final Listener listener;
    private AttemptReplacement replacement;

    /** Receives what became of a candidate that does not replace the silent attempt. */
    interface Listener {
        /** The candidate failed or was withdrawn; the silent attempt goes on. */
        void kept(Attempt candidate, boolean withdrawn, String why);
    }

    SilentAttempts(Listener listener) {
        this.listener = listener;
    }

    boolean isReplacing() {
        return replacement != null && !replacement.hasEnded();
    }

    /** Starts to replace a silent attempt; no other replacement may be under way. */
    void replace(Supplier<AttemptReplacement> factory) {
        replacement = factory.get();
        replacement.selectNext();
    }

    /** Whether an attempt is the candidate that has not been accepted yet. */
    boolean isCandidate(Attempt a) {
        return replacement != null && replacement.isCandidate(a);
    }

    /** Makes the candidate the attempt of the request; returns false if there is none. */
    boolean accept() {
        return replacement != null && replacement.accept();
    }

    /** The endpoint of the candidate has refused or failed. */
    void candidateFailed(Attempt candidate, String why) {
        replacement.candidateFailed();
        listener.kept(candidate, false, why);
    }

    /** Ends the replacement without effect. */
    void withdraw(String why) {
        Attempt cancelled = replacement == null ? null : replacement.withdraw();
        if (cancelled != null) {
            listener.kept(cancelled, true, why);
        }
    }

    /** Ends the replacement because the request ends. */
    void close() {
        if (replacement != null) {
            replacement.withdraw();
        }
    }
}
