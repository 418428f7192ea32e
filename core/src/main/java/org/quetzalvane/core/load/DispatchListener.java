package org.quetzalvane.core.load;

import org.quetzalvane.core.ResultCode;

/** Receives the measurements of dispatch. Implementations are thread-safe and must not block or take locks. */
public interface DispatchListener {

    /**
     * Reports the dispatch of a request.
     *
     * @param waitNanos time for which the request waited in the queue
     * @param loadStallNanos part of that time in which it waited for a load
     */
    void dispatched(long waitNanos, long loadStallNanos);

    /** Reports the refusal of a request. */
    void refused(ResultCode code);

    /** Reports that the engine ran {@code running} requests, of at most {@code batchSize}, for {@code nanos}. */
    void batchOccupancy(int running, int batchSize, long nanos);

    /** Reports the end of a load, successful or not. */
    void loadEnded(boolean successful, long durationNanos);

    /** Returns a listener that ignores all measurements. */
    static DispatchListener none() {
        return new DispatchListener() {
            @Override
            public void dispatched(long waitNanos, long loadStallNanos) {}

            @Override
            public void refused(ResultCode code) {}

            @Override
            public void batchOccupancy(int running, int batchSize, long nanos) {}

            @Override
            public void loadEnded(boolean successful, long durationNanos) {}
        };
    }
}
