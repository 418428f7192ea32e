package org.quetzalvane.core.config;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.zip.Deflater;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.exc.RecordException;

/**
 * Writes a snapshot of the configuration as numbered parts of bounded size, and reads them.
 *
 * <p>The sequence of items and their division into parts depend on the applied records alone, so parts of one offset
 * from different nodes can be combined. Stateless and thread-safe.
 */
public final class SnapshotCodec {
    /** Size limit of the uncompressed items of a part, unless a single item is larger. */
    private static final int PART_BYTES = 256 << 10;

    private static final TypeReference<List<Item>> ITEMS = new TypeReference<>() {};
    private static final ObjectMapper JSON = new ObjectMapper()
            .setDefaultPropertyInclusion(com.fasterxml.jackson.annotation.JsonInclude.Include.NON_NULL);

    private SnapshotCodec() {}

    /**
     * One part of a snapshot. Immutable.
     *
     * @param at offset of the last record that the snapshot covers
     * @param part number of the part, from 0
     * @param last whether this part is the last one of the snapshot
     * @param body the items, compressed
     */
    public record Part(long at, int part, boolean last, byte[] body) {}

    /**
     * One item of a snapshot; exactly one field is set. Immutable.
     *
     * @param object an object in force, as a record that states its revision
     * @param outcome the outcome of a record
     * @param words a piece of the {@link TombstoneFilter}
     */
    record Item(byte[] object, RecordOutcome outcome, TombstoneFilter.Piece words) {}

    /** Decodes a part; throws a {@link RecordException} when it is malformed. */
    public static Part decode(byte[] data) {
        try {
            return JSON.readValue(data, Part.class);
        } catch (IOException e) {
            throw new RecordException(ResultCode.RECORD_MALFORMED, "not a valid part of a configuration snapshot");
        }
    }

    static List<Item> items(Part part) {
        try {
            return JSON.readValue(new InflaterInputStream(new java.io.ByteArrayInputStream(part.body())), ITEMS);
        } catch (IOException e) {
            throw new RecordException(
                    ResultCode.RECORD_MALFORMED, "items of a configuration snapshot cannot be decoded");
        }
    }

    /** Groups items into parts. Not thread-safe. */
    static final class Writer implements Consumer<Item> {
        private final long at;
        private final List<byte[]> parts = new ArrayList<>();
        private List<byte[]> items = new ArrayList<>();
        private int bytes;

        Writer(long at) {
            this.at = at;
        }

        @Override
        public void accept(Item item) {
            byte[] data = bytes(item);
            if (bytes + data.length > PART_BYTES) {
                flush(false);
            }
            items.add(data);
            bytes += data.length;
        }

        List<byte[]> finish() {
            flush(true);
            return parts;
        }

        private void flush(boolean last) {
            parts.add(bytes(new Part(at, parts.size(), last, compress())));
            items = new ArrayList<>();
            bytes = 0;
        }

        private byte[] compress() {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            Deflater deflater = new Deflater();
            try (DeflaterOutputStream out = new DeflaterOutputStream(body, deflater)) {
                out.write('[');
                for (int i = 0; i < items.size(); i++) {
                    if (i > 0) {
                        out.write(',');
                    }
                    out.write(items.get(i));
                }
                out.write(']');
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            } finally {
                deflater.end();
            }
            return body.toByteArray();
        }

        private static byte[] bytes(Object value) {
            try {
                return JSON.writeValueAsBytes(value);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }
}
