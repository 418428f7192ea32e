package org.quetzalvane.core.serve;

/**
 * Prompt and output tokens of a request as stated by its caller. Immutable.
 *
 * @param prompt tokens of the prompt, 0 if not stated
 * @param maxOutput upper limit of output tokens, 0 if not stated
 * @param estimatedOutput the caller's estimate of output tokens, 0 if not stated; often far off
 */
public record TokenCounts(long prompt, long maxOutput, long estimatedOutput) {
    /** Output tokens to plan with, 0 if unknown. */
    public long expectedOutput() {
        return estimatedOutput > 0 && (maxOutput == 0 || estimatedOutput < maxOutput) ? estimatedOutput : maxOutput;
    }
}
