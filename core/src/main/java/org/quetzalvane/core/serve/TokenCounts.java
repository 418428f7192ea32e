package org.quetzalvane.core.serve;

/**
 * How large a caller says that a generation is. Immutable.
 *
 * @param prompt tokens of the prompt, 0 when not told
 * @param maxOutput most tokens of the answer, 0 when not told
 * @param estimatedOutput the caller's estimate of the tokens of the answer, 0 when not told; often far off
 */
public record TokenCounts(long prompt, long maxOutput, long estimatedOutput) {
    /** Tokens of the answer to reckon with, 0 when nothing is known. */
    public long expectedOutput() {
        return estimatedOutput > 0 && (maxOutput == 0 || estimatedOutput < maxOutput) ? estimatedOutput : maxOutput;
    }
}
