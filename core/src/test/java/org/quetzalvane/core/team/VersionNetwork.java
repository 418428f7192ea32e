package org.quetzalvane.core.team;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import org.quetzalvane.core.event.StructuredLog;
import org.quetzalvane.core.fleet.Endpoint;
import org.quetzalvane.core.fleet.EndpointTable;
import org.quetzalvane.core.store.KeyedTopic;
import org.quetzalvane.core.store.SharedRead;
import org.quetzalvane.core.store.StoreRecord;
import org.quetzalvane.core.time.ManualScheduler;

/**
 * Engines, a store that comes back from copies, and nodes that record and find served versions, on the paused clock.
 * Single-threaded.
 */
final class VersionNetwork {
    static final String SERVICE = "engines";
    static final long REPORT_INTERVAL_MS = 1_200;
    private static final StructuredLog NO_LOG = (code, subject, fields) -> {};
    private static final long POSITIONS_PER_EPOCH = 1L << 40;

    final ManualScheduler clock = new ManualScheduler();
    final FakeWritableTopic records = new FakeWritableTopic();
    final Map<String, Engine> engines = new LinkedHashMap<>();
    private Map<String, Entry> list = new HashMap<>();
    private long listEnd;
    private List<Node> nodes = new ArrayList<>();
    private boolean away;
    private long starts;

    private record Entry(Endpoint endpoint, long count, long position) {}

    /** What the store holds. */
    record Copy(Map<String, byte[]> records, Map<String, Entry> list, long listEnd) {}

    /** An engine that writes its entry at intervals until it ends. */
    final class Engine {
        final String id;
        final String version;
        private final long bornMs;
        private long count;
        private boolean ended;
        /** Whether it stands still. */
        boolean frozen;

        private Engine(String id, String version) {
            this.id = id;
            this.version = version;
            this.bornMs = ++starts;
            Engine before = engines.put(id, this);
            if (before != null) {
                before.ended = true;
            }
            report();
        }

        private void report() {
            if (ended) {
                return;
            }
            clock.schedule(Duration.ofMillis(REPORT_INTERVAL_MS), this::report);
            if (frozen) {
                return;
            }
            count++;
            if (!away) {
                Endpoint e = new Endpoint(
                        id, SERVICE, "10.0.0.1", 80, "a", version, Endpoint.State.READY, 4, bornMs, Map.of());
                Entry entry = new Entry(e, count, position(listEnd++));
                list.put(id, entry);
                nodes.forEach(n -> n.apply(entry));
            }
        }

        /** The engine is gone; its entry is removed if it says so. */
        void end(boolean removed) {
            ended = true;
            engines.remove(id, this);
            if (removed && list.remove(id) != null) {
                nodes.forEach(n -> n.remove(id));
            }
        }
    }

    /** A node; the first one is the writer. */
    final class Node {
        private final EndpointTable endpoints = new EndpointTable(clock);
        private final boolean writer;
        final ServedVersionTable table;
        boolean alive = true;
        /** Whether the whole list was applied. */
        private boolean initialized;

        private Node(boolean writer) {
            this.writer = writer;
            SharedRead listReads = new SharedRead(
                    clock,
                    new ListTopic(),
                    Duration.ofMillis(ServedVersionTable.LOOKUP_TIMEOUT_MS),
                    page -> onListed(page.outcome() == KeyedTopic.Outcome.OK));
            table = new ServedVersionTable(
                    clock,
                    new ServedVersionTable.Inputs(
                            records,
                            endpoints,
                            listReads,
                            () -> alive && !away && initialized,
                            () -> alive && this.writer,
                            () -> true,
                            REPORT_INTERVAL_MS),
                    NO_LOG);
            onListed(!away);
            table.start();
        }

        private void onListed(boolean read) {
            if (read) {
                list.values().forEach(this::apply);
                initialized |= !list.isEmpty();
                table.listed(position(listEnd));
            }
        }

        private void apply(Entry entry) {
            if (alive) {
                endpoints.apply(entry.endpoint);
                table.reported(entry.endpoint, entry.count, entry.position);
            }
        }

        private void remove(String id) {
            endpoints.entryRemoved(id);
            table.entryRemoved(id);
        }

        /** Versions at which a stream may begin, as requests select engines while these have room. */
        List<String> beginnings() {
            List<Endpoint> usable = endpoints.usable(SERVICE, null);
            List<Endpoint> established =
                    usable.stream().filter(table::isEstablished).toList();
            return (established.isEmpty() ? usable : established)
                    .stream().map(Endpoint::softwareVersion).distinct().sorted().toList();
        }
    }

    private final class ListTopic implements KeyedTopic {
        @Override
        public String name() {
            return "list";
        }

        @Override
        public void readNewest(Consumer<ReadResult> done) {
            done.accept(away ? ReadResult.failed("away") : ReadResult.ok(List.<StoreRecord>of(), position(listEnd)));
        }

        @Override
        public void read(long offset, long waitMs, Consumer<ReadResult> done) {
            throw new UnsupportedOperationException();
        }
    }

    private long position(long offset) {
        return records.epoch * POSITIONS_PER_EPOCH + offset;
    }

    Engine engine(String id, String version) {
        return new Engine(id, version);
    }

    /** Starts nodes in the place of all that ran before. */
    void startNodes(int count) {
        killNodes();
        for (int i = 0; i < count; i++) {
            nodes.add(new Node(i == 0));
        }
    }

    void killNodes() {
        nodes.forEach(n -> n.alive = false);
        nodes = new ArrayList<>();
    }

    Node node(int i) {
        return nodes.get(i);
    }

    void storeAway() {
        away = true;
        records.away = true;
    }

    /** The store is back with all that it held. */
    void storeBack() {
        away = false;
        records.away = false;
    }

    Copy copy() {
        return new Copy(Map.copyOf(records.values), Map.copyOf(list), listEnd);
    }

    /** The store comes back from a copy; nodes that run learn of it. */
    void restore(Copy copy) {
        away = false;
        records.away = false;
        records.values.clear();
        records.values.putAll(copy.records);
        records.epoch++;
        listEnd = copy.listEnd;
        list = new HashMap<>();
        copy.list.forEach(
                (id, e) -> list.put(id, new Entry(e.endpoint, e.count, position(e.position % POSITIONS_PER_EPOCH))));
        nodes.forEach(n -> n.table.storeRestored());
        nodes.forEach(n -> n.onListed(true));
    }

    void advance(long ms) {
        clock.advance(Duration.ofMillis(ms));
    }

    /** Looks up the versions that may have begun streams; the list stays empty until the lookup ends. */
    static List<Set<String>> find(Node n) {
        List<Set<String>> found = new ArrayList<>();
        n.table.find(SERVICE, found::add);
        return found;
    }
}
