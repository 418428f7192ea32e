package org.quetzalvane.core.team;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiPredicate;
import java.util.function.Consumer;
import java.util.function.ObjLongConsumer;
import java.util.function.Supplier;

import it.unimi.dsi.fastutil.longs.Long2ObjectLinkedOpenHashMap;
import net.openhft.hashing.LongHashFunction;
import org.quetzalvane.core.cluster.RendezvousHash;
import org.quetzalvane.core.serve.StreamOrigins;
import org.quetzalvane.core.time.Scheduler;

/**
 * The software versions that have begun streams, shared between the nodes, so that a stream can be resumed at any node,
 * also after the one that began it was lost.
 *
 * <p>Each node sends what it records to all hubs within {@link #BROADCAST_DELAY_MS}; nothing waits for it. A node that
 * does not know a stream asks some hubs; {@link StreamOriginArchive} keeps origins beyond the loss of all nodes.
 * Requests are identified by a 64-bit hash of their id. Confined to the event loop.
 */
public final class StreamOriginTable implements StreamOrigins {
    /** Time for which an origin is kept, ms: longer than any deadline of a caller, within which it resumes a stream. */
    static final long RETENTION_MS = 60_000;
    /** Largest number of origins kept: 60 s at 1,000 new streams per second. */
    static final int MAX_ORIGINS = 60_000;
    /** Time for which origins are collected before they are sent, ms; a caller takes longer to connect again. */
    static final long BROADCAST_DELAY_MS = 50;
    /** Time after which hubs that were asked count as silent, ms: many round trips between data centres. */
    static final long LOOKUP_TIMEOUT_MS = 100;
    /** Number of hubs asked at once, so that one that was restarted or lost does not hide an origin. */
    static final int HUBS_ASKED = 3;

    private static final LongHashFunction HASH = LongHashFunction.xx3();

    private final Scheduler scheduler;
    private final String address;
    private final Supplier<Collection<String>> hubs;
    private final BiPredicate<String, PeerMessage> network;
    private final Long2ObjectLinkedOpenHashMap<Origin> origins = new Long2ObjectLinkedOpenHashMap<>();
    private final Map<Long, Lookup> lookups = new HashMap<>();
    private Map<String, List<Long>> unsent = new HashMap<>();
    private ObjLongConsumer<String> addedListener = (softwareVersion, stream) -> {};
    private StreamOriginArchive archive;
    private long lastNumber;

    /**
     * Creates an empty table.
     *
     * @param address address of this node for peers, IP:PORT
     * @param hubs addresses of the other hubs that are up
     * @param network sends a message to a peer; returns false if there is no connection
     */
    public StreamOriginTable(
            Scheduler scheduler,
            String address,
            Supplier<Collection<String>> hubs,
            BiPredicate<String, PeerMessage> network) {
        this.scheduler = scheduler;
        this.address = address;
        this.hubs = hubs;
        this.network = network;
    }

    private record Origin(String softwareVersion, long recordedNanos) {}

    /** A lookup in progress. */
    private static final class Lookup {
        private final Consumer<String> done;
        private int repliesMissing;

        Lookup(Consumer<String> done) {
            this.done = done;
        }
    }

    /** Sets the archive that knows streams of nodes that were lost. */
    public void setArchive(StreamOriginArchive archive) {
        this.archive = archive;
    }

    /** Sets the listener for origins that this node or a peer has recorded, with the hash of the request's id. */
    void onAdded(ObjLongConsumer<String> listener) {
        addedListener = listener;
    }

    /** Adds an origin from the archive, unless a node has recorded one for the stream. */
    void addArchived(long stream, String softwareVersion) {
        if (!origins.containsKey(stream)) {
            put(stream, softwareVersion);
        }
    }

    /** Known origins: the streams of each software version. */
    Map<String, List<Long>> all() {
        removeExpired();
        Map<String, List<Long>> streams = new HashMap<>();
        origins.forEach((stream, origin) -> streams.computeIfAbsent(origin.softwareVersion(), v -> new ArrayList<>())
                .add(stream));
        return streams;
    }

    /** The version that sent the events of a request as known to this node, or null. */
    String known(String requestId) {
        return requestId == null ? null : get(HASH.hashChars(requestId));
    }

    /** Number of origins known. */
    public int size() {
        removeExpired();
        return origins.size();
    }

    @Override
    public void record(String requestId, String softwareVersion) {
        long stream = HASH.hashChars(requestId);
        add(stream, softwareVersion);
        if (unsent.isEmpty()) {
            scheduler.schedule(Duration.ofMillis(BROADCAST_DELAY_MS), this::broadcast);
        }
        unsent.computeIfAbsent(softwareVersion, v -> new ArrayList<>()).add(stream);
    }

    @Override
    public void find(String requestId, Consumer<String> done) {
        if (requestId == null) {
            done.accept(null);
            return;
        }
        long stream = HASH.hashChars(requestId);
        String known = get(stream);
        if (known == null) {
            askHubs(requestId, stream, done);
        } else {
            done.accept(known);
        }
    }

    @Override
    public void findArchived(String requestId, Consumer<String> done) {
        archive.find(requestId, done);
    }

    /** Processes the origins that a peer has recorded. */
    public void onOrigins(PeerMessage.StreamOrigins m) {
        m.streams().forEach((version, streams) -> streams.forEach(s -> add(s, version)));
    }

    /** Replies to the lookup of a peer. */
    public void onRequest(PeerMessage.StreamOriginRequest m) {
        network.test(m.from(), new PeerMessage.StreamOriginReply(address, m.number(), get(m.stream())));
    }

    /** Processes the reply of a hub. */
    public void onReply(PeerMessage.StreamOriginReply m) {
        Lookup lookup = lookups.get(m.number());
        if (lookup != null && (m.softwareVersion() != null || --lookup.repliesMissing == 0)) {
            complete(m.number(), m.softwareVersion());
        }
    }

    private void askHubs(String requestId, long stream, Consumer<String> done) {
        long number = ++lastNumber;
        Lookup lookup = new Lookup(done);
        List<String> ranked = RendezvousHash.rank(requestId, hubs.get(), h -> h);
        for (String hub : ranked.subList(0, Math.min(HUBS_ASKED, ranked.size()))) {
            if (network.test(hub, new PeerMessage.StreamOriginRequest(address, number, stream))) {
                lookup.repliesMissing++;
            }
        }
        if (lookup.repliesMissing == 0) {
            done.accept(null);
            return;
        }
        lookups.put(number, lookup);
        scheduler.schedule(Duration.ofMillis(LOOKUP_TIMEOUT_MS), () -> complete(number, null));
    }

    private void complete(long number, String softwareVersion) {
        Lookup lookup = lookups.remove(number);
        if (lookup != null) {
            lookup.done.accept(softwareVersion);
        }
    }

    private void broadcast() {
        PeerMessage.StreamOrigins m = new PeerMessage.StreamOrigins(address, unsent);
        unsent = new HashMap<>();
        hubs.get().forEach(h -> network.test(h, m));
    }

    private void add(long stream, String softwareVersion) {
        put(stream, softwareVersion);
        addedListener.accept(softwareVersion, stream);
    }

    private void put(long stream, String softwareVersion) {
        origins.putAndMoveToLast(stream, new Origin(softwareVersion, scheduler.nanoTime()));
        removeExpired();
    }

    private String get(long stream) {
        removeExpired();
        Origin o = origins.get(stream);
        return o == null ? null : o.softwareVersion();
    }

    private void removeExpired() {
        long oldest = scheduler.nanoTime() - RETENTION_MS * 1_000_000;
        while (!origins.isEmpty()
                && (origins.size() > MAX_ORIGINS
                        || origins.get(origins.firstLongKey()).recordedNanos() < oldest)) {
            origins.removeFirst();
        }
    }
}
