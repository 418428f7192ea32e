package org.quetzalvane.core.port;

import org.quetzalvane.core.model.AdapterVersion;

/**
 * An attempt to run a request on an engine. Immutable.
 *
 * @param attemptId identifier, unique for every attempt; the engine echoes it
 * @param version adapter version that must generate the response
 * @param prompt the prompt
 * @param maxTokens limit of the length of the response in tokens
 * @param priority priority; higher values run first
 * @param resumeFrom index of the first chunk requested; 0 for the whole response
 */
public record AttemptRequest(
        String attemptId, AdapterVersion version, String prompt, int maxTokens, int priority, int resumeFrom) {}
