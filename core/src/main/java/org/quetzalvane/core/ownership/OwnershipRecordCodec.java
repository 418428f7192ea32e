package org.quetzalvane.core.ownership;

import java.io.IOException;
import java.io.UncheckedIOException;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.exc.RecordException;

/** Encodes and decodes ownership records as JSON. Stateless and thread-safe. */
public final class OwnershipRecordCodec {
    private static final ObjectMapper JSON = new ObjectMapper();

    private OwnershipRecordCodec() {}

    /** Encodes a record as JSON. */
    public static byte[] encode(OwnershipRecord record) {
        try {
            return JSON.writerFor(OwnershipRecord.class).writeValueAsBytes(record);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Decodes a record; throws a {@link RecordException} when it is malformed. */
    public static OwnershipRecord decode(byte[] data) {
        try {
            return JSON.readValue(data, OwnershipRecord.class);
        } catch (IOException e) {
            throw new RecordException(ResultCode.RECORD_MALFORMED, "ownership record cannot be decoded");
        }
    }
}
