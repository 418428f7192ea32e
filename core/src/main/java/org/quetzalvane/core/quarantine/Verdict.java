package org.quetzalvane.core.quarantine;

/**
 * Whether a request may be sent now. Immutable.
 *
 * @param kind the decision
 * @param retryAfterMs time after which the caller may try again, ms; -1 if the request may be sent
 * @param evidence why the request is refused, for the log; empty if it may be sent
 */
public record Verdict(Kind kind, long retryAfterMs, String evidence) {
    public static final Verdict ADMIT = new Verdict(Kind.ADMIT, -1, "");
    public static final Verdict TRIAL = new Verdict(Kind.TRIAL, -1, "");

    /** The decisions. */
    public enum Kind {
        ADMIT,
        /** The request has condemned parts and may be sent once, to find out whether they still crash endpoints. */
        TRIAL,
        REFUSE
    }

    public static Verdict refuse(long retryAfterMs, String evidence) {
        return new Verdict(Kind.REFUSE, retryAfterMs, evidence);
    }

    public boolean maySend() {
        return kind != Kind.REFUSE;
    }
}
