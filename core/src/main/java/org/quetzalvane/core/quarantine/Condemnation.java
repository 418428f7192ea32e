package org.quetzalvane.core.quarantine;

import java.util.List;

/**
 * A condemned set of parts, for other nodes. Immutable; the list must not be changed.
 *
 * @param service service of the parts
 * @param parts hashes of the parts
 * @param crashes number of counted crashes
 * @param ageMs time since the judgement, ms
 * @param lastCrashAgeMs time since the last crash under the parts, ms
 * @param pauseMs pause between trials, ms
 * @param nextTrialMs time until a trial is due, ms; negative if one is
 * @param trialLeftMs time for which a trial in progress may last, ms; not positive if there is none
 */
public record Condemnation(
        String service,
        List<Long> parts,
        int crashes,
        long ageMs,
        long lastCrashAgeMs,
        long pauseMs,
        long nextTrialMs,
        long trialLeftMs) {}
