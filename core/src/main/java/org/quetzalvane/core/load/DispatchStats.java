package org.quetzalvane.core.load;

import org.quetzalvane.core.ResultCode;

/** Hears what the measures are made of. Implementations are thread-safe and must not block or take locks. */
public interface DispatchStats {

    /** A request was dispatched after waiting, part of it for a load. */
    void dispatched(long queuedNanos, long loadStallNanos);

    /** A request was refused. */
    void refused(ResultCode code);

    /** The engine ran {@code running} of {@code batchSize} requests for a time. */
    void batch(int running, int batchSize, long nanos);

    /** A load ended. */
    void loaded(boolean successful, long nanos);

    /** Discards everything. */
    static DispatchStats none() {
        return new DispatchStats() {
            @Override
            public void dispatched(long queuedNanos, long loadStallNanos) {}

            @Override
            public void refused(ResultCode code) {}

            @Override
            public void batch(int running, int batchSize, long nanos) {}

            @Override
            public void loaded(boolean successful, long nanos) {}
        };
    }
}
