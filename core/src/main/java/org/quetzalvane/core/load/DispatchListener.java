package org.quetzalvane.core.load;

import org.quetzalvane.core.ResultCode;

/** Hears what the measures are made of. Implementations are thread-safe and must not block or take locks. */
public interface DispatchListener {

    /** A request was dispatched after waiting, part of it for a load. */
    void dispatched(long queuedNanos, long loadStallNanos);

    /** A request was refused. */
    void refused(ResultCode code);

    /** The engine ran {@code running} of {@code batchSize} requests for a time. */
    void batchOccupancy(int running, int batchSize, long nanos);

    /** A load ended. */
    void loadFinished(boolean successful, long nanos);

    /** Discards everything. */
    static DispatchListener none() {
        return new DispatchListener() {
            @Override
            public void dispatched(long queuedNanos, long loadStallNanos) {}

            @Override
            public void refused(ResultCode code) {}

            @Override
            public void batchOccupancy(int running, int batchSize, long nanos) {}

            @Override
            public void loadFinished(boolean successful, long nanos) {}
        };
    }
}
