package org.quetzalvane.core.serve;

/**
 * How large a caller says that a generation is. Immutable.
 *
 * @param prompt tokens of the prompt, 0 when not told
 * @param mostOutput most tokens of the answer, 0 when not told
 * @param likelyOutput the caller's estimate of the tokens of the answer, 0 when not told; often far off
 */
public record TokenCounts(long prompt, long mostOutput, long likelyOutput) {
    /** Tokens of the answer to reckon with, 0 when nothing is known. */
    public long expectedOutput() {
        return likelyOutput > 0 && (mostOutput == 0 || likelyOutput < mostOutput) ? likelyOutput : mostOutput;
    }
}
