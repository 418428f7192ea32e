package org.quetzalvane.core.port;

import java.util.List;

/**
 * Records of a stream that were read together. Immutable.
 *
 * @param records the records, in offset order
 * @param end offset after the newest record of the stream at the time of reading
 */
public record LogBatch(List<LogRecord> records, long end) {

    /**
     * A record of a stream. The data must not be modified.
     *
     * @param offset offset in the stream
     * @param data the bytes of the record
     */
    public record LogRecord(long offset, byte[] data) {}
}
