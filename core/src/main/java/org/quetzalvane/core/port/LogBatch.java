package org.quetzalvane.core.port;

import java.util.List;

/**
 * Consecutive records of a stream. Immutable.
 *
 * @param records the records, in offset order
 * @param end offset after the newest record of the stream when it was read
 */
public record LogBatch(List<LogRecord> records, long end) {

    /**
     * One record. The data must not be modified.
     *
     * @param offset offset on the log
     * @param data the bytes of the record
     */
    public record LogRecord(long offset, byte[] data) {}
}
