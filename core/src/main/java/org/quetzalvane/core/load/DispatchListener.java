package org.quetzalvane.core.load;

import org.quetzalvane.core.ResultCode;

/** Receives the measurements of dispatch. Implementations are thread-safe and must not block or take locks. */
public interface DispatchListener {

    /** A request was dispatched after it waited in the queue; {@code loadStallNanos} of that was a wait for a load. */
    void dispatched(long queuedNanos, long loadStallNanos);

    /** A request was refused. */
    void refused(ResultCode code);

    /** The engine ran {@code running} requests, of at most {@code batchSize}, for a time. */
    void batchOccupancy(int running, int batchSize, long nanos);

    /** A load ended, successfully or not. */
    void loadEnded(boolean successful, long durationNanos);

    /** Returns a listener that ignores all measurements. */
    static DispatchListener none() {
        return new DispatchListener() {
            @Override
            public void dispatched(long queuedNanos, long loadStallNanos) {}

            @Override
            public void refused(ResultCode code) {}

            @Override
            public void batchOccupancy(int running, int batchSize, long nanos) {}

            @Override
            public void loadEnded(boolean successful, long durationNanos) {}
        };
    }
}
