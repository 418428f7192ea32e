package org.quetzalvane.core.port;

import org.quetzalvane.core.model.AdapterVersion;

/**
 * One attempt of a request at an engine. Immutable.
 *
 * @param attemptId unique for every attempt; the engine echoes it
 * @param version the adapter version that must produce the answer
 * @param prompt the prompt
 * @param maxTokens upper bound of the answer's length, in tokens
 * @param priority higher runs first
 * @param resumeFrom index of the first part wanted; 0 for a fresh attempt
 */
public record AttemptRequest(
        String attemptId, AdapterVersion version, String prompt, int maxTokens, int priority, int resumeFrom) {}
