package org.quetzalvane.entry;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

import org.quetzalvane.platform.standin.SecondCopy;
import org.quetzalvane.platform.standin.StreamingEngineStandIn.Behaviour;
import org.quetzalvane.platform.standin.StreamingEngineStandIn.End;

/**
 * How the engines of a soak respond: a part of the streams is broken off, in each of the framings, a part of the
 * requests fails, and a part of the responses is sent once more, whole or broken off. The same for the same attempt.
 * Records which attempts an engine answered with success. Thread-safe.
 */
final class EngineResponses implements Behaviour {
    private static final int BROKEN_PERCENT = 12;
    /** Somewhat longer than the head of a response. */
    private static final int HEAD_BYTES = 160;

    private final int failurePercent;
    private final int secondCopyPercent;
    private final AtomicInteger calls = new AtomicInteger();
    private final Set<String> succeeded = ConcurrentHashMap.newKeySet();
    private final Set<String> failed = ConcurrentHashMap.newKeySet();

    /** Creates the responses of engines of which a part fails, and sends responses once more, in percent. */
    EngineResponses(int failurePercent, int secondCopyPercent) {
        this.failurePercent = failurePercent;
        this.secondCopyPercent = secondCopyPercent;
    }

    @Override
    public End endOf(String attempt, int first) {
        int n = Math.floorMod(attempt.hashCode() * 31 + first, 100);
        if (n >= BROKEN_PERCENT) {
            if (n >= 100 - failurePercent) {
                return End.FAILURE;
            }
            return n % 3 == 0 ? End.WHOLE_UNDELIMITED : End.WHOLE;
        }
        return End.values()[2 + n % 3];
    }

    @Override
    public SecondCopy secondCopyOf(String attempt, int length) {
        String key = attempt.isEmpty() ? "call-" + calls.incrementAndGet() : attempt;
        int hash = key.hashCode() * 0x9E3779B9;
        if (Math.floorMod(hash >>> 8, 100) >= secondCopyPercent) {
            return SecondCopy.NONE;
        }
        // Few cuts at random would be within the head, which is a small part of a stream.
        int bytes = Math.floorMod(hash >>> 3, 4) == 0 ? length : Math.min(length, Math.floorMod(hash * 31, HEAD_BYTES));
        SecondCopy.Moment moment = SecondCopy.Moment.values()[Math.floorMod(hash >>> 5, 2)];
        return new SecondCopy(moment, bytes, Math.floorMod(hash >>> 16, 4) == 0);
    }

    @Override
    public void answers(String attempt, int status) {
        (status < 300 ? succeeded : failed).add(attempt);
    }

    /** Whether engines answered an attempt, and each time with a failure. */
    boolean onlyFailed(String attempt) {
        return failed.contains(attempt) && !succeeded.contains(attempt);
    }
}
