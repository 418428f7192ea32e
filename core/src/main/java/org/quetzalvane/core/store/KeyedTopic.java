package org.quetzalvane.core.store;

import java.util.List;
import java.util.function.Consumer;

/** Port to one keyed topic of the platform's store. Responses arrive on the event loop, once each. */
public interface KeyedTopic {

    /** Name of the topic, for the log. */
    String name();

    /** Reads the newest record of each key, over all pages. */
    void readLatest(Consumer<Page> done);

    /** Reads records from an offset, waiting up to {@code waitMs} milliseconds for the first one. */
    void read(long offset, long waitMs, Consumer<Page> done);

    /** Outcome of a read. */
    enum Outcome {
        OK,
        /** The offset has expired: the newest records must be read again. */
        EXPIRED,
        FAILED
    }

    /**
     * Result of a read. Immutable.
     *
     * @param outcome outcome of the read; only OK carries records
     * @param records records in order
     * @param endOffset offset from which to continue
     * @param cause cause of a failure, for the log
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
