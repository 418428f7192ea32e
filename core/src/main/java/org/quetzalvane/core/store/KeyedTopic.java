package org.quetzalvane.core.store;

import java.util.List;
import java.util.function.Consumer;

/** Port to one keyed topic of the platform's store. Responses arrive on the event loop, once each. */
public interface KeyedTopic {

    /** Name of the topic, for the log. */
    String name();

    /** Reads the newest record of each key, over all pages of the response. */
    void readNewest(Consumer<ReadResult> done);

    /** Reads records from an offset, waiting up to {@code waitMs} milliseconds for the first one. */
    void read(long offset, long waitMs, Consumer<ReadResult> done);

    /** Outcome of a read. */
    enum Outcome {
        OK,
        /** The offset has expired: the newest records must be read again. */
        EXPIRED,
        /**
         * The store came back from a copy without the newest records: the newest records must be read again, and what
         * the copy lacks is written again within {@link RecordFollower#REWRITE_MS}.
         */
        RESTORED,
        FAILED
    }

    /**
     * Result of a read. Immutable.
     *
     * @param outcome whether the read succeeded; only OK carries records
     * @param records records in order of their offsets
     * @param endOffset offset from which to continue
     * @param cause cause of a failure for the log, otherwise empty
     */
    record ReadResult(Outcome outcome, List<StoreRecord> records, long endOffset, String cause) {

        public static ReadResult ok(List<StoreRecord> records, long endOffset) {
            return new ReadResult(Outcome.OK, List.copyOf(records), endOffset, "");
        }

        public static ReadResult expired() {
            return new ReadResult(Outcome.EXPIRED, List.of(), 0, "");
        }

        public static ReadResult restored() {
            return new ReadResult(Outcome.RESTORED, List.of(), 0, "");
        }

        public static ReadResult failed(String cause) {
            return new ReadResult(Outcome.FAILED, List.of(), 0, cause);
        }
    }
}
