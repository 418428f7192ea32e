package org.quetzalvane.core.serve;

/**
 * Prompt and output tokens of a request as stated by its caller. Immutable.
 *
 * @param prompt tokens of the prompt, 0 if not stated
 * @param maxOutput upper limit of output tokens, 0 if not stated
 * @param estimatedOutput the caller's estimate of output tokens, 0 if not stated; often far off
 * @param statement whether prompt and output tokens were stated, and properly
 */
public record TokenCounts(long prompt, long maxOutput, long estimatedOutput, Statement statement) {

    /** Whether a request states its prompt and output tokens. */
    public enum Statement {
        VALID,
        ABSENT,
        MALFORMED
    }

    /** Output tokens to plan with, 0 if unknown. */
    public long expectedOutput() {
        return estimatedOutput > 0 && (maxOutput == 0 || estimatedOutput < maxOutput) ? estimatedOutput : maxOutput;
    }

    /** Prompt and output tokens together, or -1 if they are not properly stated. */
    long stated() {
        return statement == Statement.VALID ? prompt + maxOutput : -1;
    }
}
