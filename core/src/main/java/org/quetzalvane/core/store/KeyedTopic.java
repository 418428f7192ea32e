package org.quetzalvane.core.store;

import java.util.List;
import java.util.function.Consumer;

/** Port to one keyed topic of the platform's store. Answers arrive on the event loop, once each. */
public interface KeyedTopic {

    /** Name of the topic, for the log. */
    String name();

    /** Reads the newest record of each key, all pages. */
    void readLatest(Consumer<Page> done);

    /** Reads records from an offset on, waiting up to {@code waitMs} milliseconds for one. */
    void read(long offset, long waitMs, Consumer<Page> done);

    /** How a read ended. */
    enum Outcome {
        OK,
        /** The offset has expired: the newest records must be read again. */
        EXPIRED,
        FAILED
    }

    /**
     * Records read. Immutable.
     *
     * @param outcome how the read ended; only OK carries records
     * @param records records in order
     * @param endOffset offset to read on from
     * @param cause of a failure, for the log
     */
    record Page(Outcome outcome, List<StoreRecord> records, long endOffset, String cause) {

        public static Page ok(List<StoreRecord> records, long endOffset) {
            return new Page(Outcome.OK, List.copyOf(records), endOffset, "");
        }

        public static Page expired() {
            return new Page(Outcome.EXPIRED, List.of(), 0, "");
        }

        public static Page failed(String cause) {
            return new Page(Outcome.FAILED, List.of(), 0, cause);
        }
    }
}
