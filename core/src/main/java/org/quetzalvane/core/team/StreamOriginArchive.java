package org.quetzalvane.core.team;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import org.quetzalvane.core.event.EventCode;
import org.quetzalvane.core.event.StructuredLog;
import org.quetzalvane.core.store.KeyedTopic;
import org.quetzalvane.core.store.SharedRead;
import org.quetzalvane.core.store.StoreRecord;
import org.quetzalvane.core.store.WritableTopic;
import org.quetzalvane.core.time.Scheduler;

/**
 * Keeps the origins of streams in the platform's store while a service has several software versions, so that a stream
 * can be resumed although all nodes were lost at once.
 *
 * <p>One node, the writer, writes all origins that it knows when it starts to write, and every {@link
 * #WRITE_INTERVAL_MS} those that were added. The records take turns in {@link #SLOTS} keys, so that each is kept for
 * longer than a stream lasts. Other nodes read the records when they are asked for a stream that no hub knows. Confined
 * to the event loop.
 */
public final class StreamOriginArchive {
    /** Interval between writes, ms: origins of the last interval before the loss of all nodes are lost. */
    static final long WRITE_INTERVAL_MS = 100;
    /** Number of keys that the records take turns in: {@link StreamOriginTable#RETENTION_MS} of writes and a margin. */
    static final int SLOTS = 640;
    /** Age of the last read up to which its result is used again, ms. */
    static final long READ_INTERVAL_MS = 1_000;
    /** Time after which a lookup ends as unknown if the store does not answer, ms. */
    static final long LOOKUP_TIMEOUT_MS = 300;
    /** Largest number of streams in a record: 64 kB. */
    private static final int MAX_STREAMS_PER_RECORD = 8_000;

    private final Scheduler scheduler;
    private final WritableTopic topic;
    private final StreamOriginTable origins;
    private final BooleanSupplier writer;
    private final StructuredLog log;
    private final SharedRead lookups;
    private Map<String, List<Long>> unwritten = new HashMap<>();
    /** Whether this node is the writer and has written all origins that it knew. */
    private boolean writing;

    private boolean callInFlight;
    private boolean everRead;
    private long readNanos;
    private int nextSlot;

    /**
     * Creates the archive.
     *
     * @param topic topic of the records
     * @param origins origins that this node knows
     * @param writer whether this node is the one that writes, and origins are to be kept
     */
    public StreamOriginArchive(
            Scheduler scheduler,
            WritableTopic topic,
            StreamOriginTable origins,
            BooleanSupplier writer,
            StructuredLog log) {
        this.scheduler = scheduler;
        this.topic = topic;
        this.origins = origins;
        this.writer = writer;
        this.log = log;
        this.lookups = new SharedRead(scheduler, topic, Duration.ofMillis(LOOKUP_TIMEOUT_MS), this::recordsRead);
    }

    /** Starts writing while this node is the writer. */
    public void start() {
        origins.onAdded(this::added);
        write();
    }

    /** Writes all origins again, because the store came back from a copy that may lack the records. */
    public void storeRestored() {
        writing = false;
    }

    /**
     * Looks a stream up in the store.
     *
     * @param done called once with the version that began the stream, or null; possibly before this method returns
     */
    public void find(String requestId, Consumer<String> done) {
        String known = origins.known(requestId);
        boolean recent = everRead && scheduler.nanoTime() - readNanos < READ_INTERVAL_MS * 1_000_000;
        if (known != null || recent) {
            done.accept(known);
            return;
        }
        lookups.then(read -> done.accept(origins.known(requestId)));
    }

    private void recordsRead(KeyedTopic.ReadResult result) {
        if (load(result)) {
            everRead = true;
            readNanos = scheduler.nanoTime();
        }
    }

    private void added(String softwareVersion, long stream) {
        if (writing) {
            unwritten.computeIfAbsent(softwareVersion, v -> new ArrayList<>()).add(stream);
        }
    }

    private void write() {
        scheduler.schedule(Duration.ofMillis(WRITE_INTERVAL_MS), this::write);
        if (!writer.getAsBoolean()) {
            writing = false;
            unwritten = new HashMap<>();
        } else if (!callInFlight && !writing) {
            callInFlight = true;
            topic.readNewest(this::startWriting);
        } else if (!callInFlight && !unwritten.isEmpty()) {
            writeAdded();
        }
    }

    /** Writes all origins, those that an earlier writer has left included: its records are overwritten in time. */
    private void startWriting(KeyedTopic.ReadResult result) {
        callInFlight = false;
        if (load(result) && writer.getAsBoolean()) {
            writing = true;
            unwritten = origins.all();
            log.log(EventCode.STREAM_ORIGINS_KEPT, "store", "streams", origins.size());
            if (!unwritten.isEmpty()) {
                writeAdded();
            }
        }
    }

    private void writeAdded() {
        Map<String, List<Long>> batch = unwritten;
        unwritten = new HashMap<>();
        Map<String, byte[]> records = new HashMap<>();
        int slot = nextSlot;
        for (Map.Entry<String, List<Long>> e : batch.entrySet()) {
            List<Long> streams = e.getValue();
            for (int from = 0; from < streams.size(); from += MAX_STREAMS_PER_RECORD) {
                int to = Math.min(streams.size(), from + MAX_STREAMS_PER_RECORD);
                records.put(Integer.toString(slot), encode(e.getKey(), streams.subList(from, to)));
                slot = (slot + 1) % SLOTS;
            }
        }
        int slotAfterwards = slot;
        callInFlight = true;
        topic.write(records, Set.of(), acknowledged -> {
            callInFlight = false;
            if (acknowledged) {
                nextSlot = slotAfterwards;
            } else {
                batch.forEach((version, streams) -> unwritten
                        .computeIfAbsent(version, v -> new ArrayList<>())
                        .addAll(streams));
            }
        });
    }

    private static byte[] encode(String softwareVersion, List<Long> streams) {
        byte[] version = softwareVersion.getBytes(StandardCharsets.UTF_8);
        ByteBuffer record = ByteBuffer.allocate(Integer.BYTES + version.length + streams.size() * Long.BYTES);
        record.putInt(version.length).put(version);
        streams.forEach(record::putLong);
        return record.array();
    }

    /** Adds the origins of a listing; returns false if it failed. A malformed record is logged and skipped. */
    private boolean load(KeyedTopic.ReadResult result) {
        if (result.outcome() != KeyedTopic.Outcome.OK) {
            return false;
        }
        result.records().stream().filter(r -> r.value() != null).forEach(this::load);
        return true;
    }

    private void load(StoreRecord r) {
        ByteBuffer record = ByteBuffer.wrap(r.value());
        int length = record.remaining() < Integer.BYTES ? -1 : record.getInt();
        if (length < 0 || length > record.remaining() || (record.remaining() - length) % Long.BYTES != 0) {
            log.log(EventCode.BAD_RECORD, r.key(), "offset", r.offset(), "cause", "not a list of streams");
            return;
        }
        byte[] version = new byte[length];
        record.get(version);
        String softwareVersion = new String(version, StandardCharsets.UTF_8);
        while (record.hasRemaining()) {
            origins.addArchived(record.getLong(), softwareVersion);
        }
    }
}
