package org.quetzalvane.entry;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import org.quetzalvane.platform.BootSettings;
import org.quetzalvane.platform.standin.EndpointStandIn;
import org.quetzalvane.platform.standin.KeptCaller;
import org.quetzalvane.platform.standin.PlatformStoreStandIn;

/**
 * Nodes in processes of their own, an operator that changes the configuration, and callers that ask each node for
 * routes that were added or dropped, while faults of the store and the nodes drawn from a seed follow each other and
 * overlap. The faults are the same for a seed; their moments depend on the machine. Confined to one thread, except for
 * the repairs and the callers.
 */
final class ConfigSoak implements AutoCloseable {
    private static final int HEAP_MB = 64;
    private static final int FAULTS_PER_ROUND = 8;
    private static final int NEXT_FAULT_MS = 300;
    private static final int LONGEST_FAULT_MS = 4_500;
    private static final int NEXT_CHANGE_MS = 1_200;
    private static final int CALM_MS = 2_000;
    private static final int LARGEST_VERSION_STEP = 5;
    private static final int FURTHER_RECORDS = 3;
    private static final int SLOW_STORE_MS = 240;
    private static final int RESTORE_AWAY_MS = 300;
    private static final int REQUEST_INTERVAL_MS = 8;
    private static final int MIN_REQUEST_INTERVAL_MS = 25;
    private static final int NODES_PER_SECOND_ADDRESS = 4;

    private final Random random;
    private final Path directory;
    private final int nodeCount;
    private final PlatformStoreStandIn store = new PlatformStoreStandIn();
    private final List<EndpointStandIn> endpoints = new ArrayList<>();
    private final List<EntryProcess> nodes = new ArrayList<>();
    private final Map<EntryProcess, AtomicInteger> runs = new ConcurrentHashMap<>();
    private final Set<EntryProcess> disturbed = ConcurrentHashMap.newKeySet();
    private final List<Thread> repairs = new CopyOnWriteArrayList<>();
    private final List<String> failures = new CopyOnWriteArrayList<>();
    private final Disturbances disturbances = new Disturbances();
    private final ConfigJudge judge = new ConfigJudge(disturbances);
    private final Map<Fault, Integer> lasting = new EnumMap<>(Fault.class);
    private final Map<Fault, Integer> begun = new TreeMap<>();
    private final List<String> configs = new ArrayList<>();
    private final Random operatorRandom;
    private int version;
    private boolean restoring;
    private boolean writePending;
    private volatile boolean ended;

    /** What happens to the nodes and the store. */
    enum Fault {
        NODE_FREEZE,
        NODE_KILL,
        NODE_STOP,
        NODE_HANGUP,
        STORE_DOWN,
        STORE_RESPONSES_LOST,
        /** Calls are lost on open connections. */
        STORE_SILENT,
        STORE_SLOW,
        /** Some nodes get 503. */
        STORE_REFUSES_SOME,
        /** The calls of some nodes are lost. */
        STORE_CUT_FROM_SOME,
        STORE_HISTORY_EXPIRED,
        STORE_RESTORED
    }

    /** Creates a soak that has not started. */
    ConfigSoak(long seed, int nodeCount, Path directory) {
        this.random = new Random(seed);
        this.operatorRandom = new Random(random.nextLong());
        this.nodeCount = nodeCount;
        this.directory = directory;
    }

    /** Runs nodes and callers for a time, under the given kinds of faults. */
    void run(long seconds, List<Fault> kinds) throws Exception {
        change();
        startEndpoint("plain-1", ConfigSeries.EVEN_SERVICE);
        startEndpoint("plain-2", ConfigSeries.EVEN_SERVICE);
        startEndpoint("other-1", ConfigSeries.ODD_SERVICE);
        startNodes();
        List<Thread> threads = new ArrayList<>();
        nodes.forEach(n -> threads.add(startCaller(n)));
        threads.add(start(this::operate));
        long endNanos = System.nanoTime() + seconds * 1_000_000_000;
        while (System.nanoTime() < endNanos) {
            runRound(kinds);
        }
        ended = true;
        for (Thread t : threads) {
            t.join();
        }
    }

    /** Some faults that overlap, and then a time without any, in which the bounds have to be met. */
    private void runRound(List<Fault> kinds) throws InterruptedException {
        for (int i = 1 + random.nextInt(1 + random.nextInt(FAULTS_PER_ROUND)); i > 0; i--) {
            begin(kinds.get(random.nextInt(kinds.size())), 200 + random.nextInt(LONGEST_FAULT_MS));
            TimeUnit.MILLISECONDS.sleep(random.nextInt(2 * NEXT_FAULT_MS));
        }
        for (Thread t : repairs) {
            t.join();
        }
        repairs.clear();
        TimeUnit.MILLISECONDS.sleep(ConfigJudge.STABILITY_MS + CALM_MS);
    }

    ConfigJudge judge() {
        return judge;
    }

    /** Failures of the soak itself. */
    List<String> failures() {
        return List.copyOf(failures);
    }

    /** Numbers for a report. */
    String summary() {
        return judge.summary() + ", failures " + failures + ", faults " + begun;
    }

    @Override
    public void close() {
        ended = true;
        nodes.forEach(EntryProcess::close);
        endpoints.forEach(EndpointStandIn::close);
        store.close();
    }

    private void startEndpoint(String id, String service) {
        EndpointStandIn e = new EndpointStandIn(id, service, (self, x) -> self.respondComplete(x, service));
        endpoints.add(e);
        store.writeEndpoint(id, e.entry());
    }

    private void startNodes() throws IOException, InterruptedException {
        Set<String> seeds = new TreeSet<>();
        for (int i = 0; i < nodeCount; i++) {
            String address = usesSecondAddress(i) ? store.secondAddress() : store.address();
            BootSettings s = TestSettings.of("n" + i, Set.copyOf(seeds), address);
            disturbances.begin(s.nodeName());
            EntryProcess n = new EntryProcess(s, directory, HEAP_MB);
            nodes.add(n);
            runs.put(n, new AtomicInteger(1));
            seeds.add(s.peerAddress());
        }
        for (EntryProcess n : nodes) {
            n.awaitReady();
            disturbances.end(n.settings().nodeName());
        }
    }

    private static boolean usesSecondAddress(int node) {
        return node % NODES_PER_SECOND_ADDRESS == 1;
    }

    private void operate() throws InterruptedException {
        while (!ended) {
            TimeUnit.MILLISECONDS.sleep(operatorRandom.nextInt(2 * NEXT_CHANGE_MS));
            change();
        }
    }

    private synchronized void change() {
        version += 1 + operatorRandom.nextInt(LARGEST_VERSION_STEP);
        configs.add(ConfigSeries.json(configs.size(), version));
        judge.sent(version);
        write();
    }

    /** Writes the newest configuration and some adapter versions; a store that does not respond gets them later. */
    private synchronized void write() {
        writePending = isLasting(Fault.STORE_DOWN) || isLasting(Fault.STORE_SILENT);
        if (writePending) {
            return;
        }
        store.writeConfig(configs.get(configs.size() - 1));
        for (int i = operatorRandom.nextInt(FURTHER_RECORDS); i > 0; i--) {
            store.writeRequiredVersion("m", "b" + i, version);
        }
        store.awaitWrites();
        judge.acknowledged(configs.size() - 1, System.nanoTime());
    }

    private Thread startCaller(EntryProcess n) {
        Random own = new Random(random.nextLong());
        long intervalMs = Math.max(MIN_REQUEST_INTERVAL_MS, (long) REQUEST_INTERVAL_MS * nodeCount);
        return start(() -> {
            try (KeptCaller caller = new KeptCaller(n.settings().callerAddress())) {
                for (int i = 0; !ended; i++) {
                    if (own.nextInt(4) == 0) {
                        caller.disconnect();
                    }
                    ask(n, caller, path(own), n.settings().nodeName() + "-" + i);
                    TimeUnit.MILLISECONDS.sleep(intervalMs);
                }
            }
        });
    }

    private void ask(EntryProcess n, KeptCaller caller, String path, String id) throws IOException {
        int run = runs.get(n).get();
        String connection = caller.connected() ? "kept" : "new";
        long sent = System.nanoTime();
        KeptCaller.Response r;
        try {
            r = caller.get(path, id);
        } catch (IOException e) {
            // Expected of a node that was killed or is frozen.
            return;
        }
        if (runs.get(n).get() == run) {
            judge.observe(
                    new ConfigJudge.Probe(n.settings().nodeName(), run, connection, path, sent, System.nanoTime(), r));
        }
    }

    private String path(Random own) {
        int newest;
        synchronized (this) {
            newest = configs.size() - 1;
        }
        return switch (own.nextInt(8)) {
            case 0, 1 -> ConfigSeries.STEADY;
            case 2 -> ConfigSeries.MOVING;
            case 3 -> ConfigSeries.UNKNOWN;
            default -> ConfigSeries.added(Math.max(0, newest - own.nextInt(4)));
        };
    }

    private void begin(Fault f, long forMs) {
        begun.merge(f, 1, Integer::sum);
        switch (f) {
            case NODE_FREEZE -> disturb(n -> {
                n.freeze();
                TimeUnit.MILLISECONDS.sleep(forMs);
                n.thaw();
            });
            case NODE_KILL -> disturb(n -> {
                n.kill();
                TimeUnit.MILLISECONDS.sleep(forMs);
                startAgain(n);
            });
            case NODE_STOP -> disturb(n -> {
                n.stop();
                startAgain(n);
            });
            case NODE_HANGUP -> disturb(EntryProcess::hangUp);
            case STORE_DOWN -> impair(f, forMs, store::down);
            case STORE_RESPONSES_LOST -> impair(f, forMs, store::dropResponses);
            case STORE_SILENT -> impair(f, forMs, store::silence);
            case STORE_SLOW -> impair(f, forMs, on -> store.delayResponses(on ? SLOW_STORE_MS : 0));
            case STORE_REFUSES_SOME -> impair(f, forMs, store::refuseSecondAddress);
            case STORE_CUT_FROM_SOME -> impair(f, forMs, store::cutSecondAddress);
            case STORE_HISTORY_EXPIRED -> store.expire();
            case STORE_RESTORED -> restore(forMs);
            default -> throw new IllegalArgumentException(f.name());
        }
    }

    private void startAgain(EntryProcess n) throws IOException, InterruptedException {
        runs.get(n).incrementAndGet();
        n.start();
        n.awaitReady();
    }

    /** Disturbs one node that is not disturbed yet, in a thread of its own. */
    private void disturb(NodeTask task) {
        EntryProcess n = nodes.get(random.nextInt(nodes.size()));
        if (disturbed.add(n)) {
            disturbances.begin(n.settings().nodeName());
            repairs.add(start(() -> {
                task.run(n);
                disturbances.end(n.settings().nodeName());
                disturbed.remove(n);
            }));
        }
    }

    /** Impairs the store for a time; the same kind may overlap with itself. */
    private void impair(Fault f, long forMs, Consumer<Boolean> effect) {
        List<String> impaired = f == Fault.STORE_REFUSES_SOME || f == Fault.STORE_CUT_FROM_SOME
                ? nodes.stream()
                        .filter(n -> usesSecondAddress(nodes.indexOf(n)))
                        .map(n -> n.settings().nodeName())
                        .collect(Collectors.toList())
                : List.of(ConfigJudge.STORE);
        impaired.forEach(disturbances::begin);
        setLasting(f, 1, effect);
        repairs.add(start(() -> {
            TimeUnit.MILLISECONDS.sleep(forMs);
            setLasting(f, -1, effect);
            impaired.forEach(disturbances::end);
        }));
    }

    private synchronized void setLasting(Fault f, int change, Consumer<Boolean> effect) {
        lasting.merge(f, change, Integer::sum);
        effect.accept(isLasting(f));
        if (writePending) {
            write();
        }
    }

    private synchronized boolean isLasting(Fault f) {
        return lasting.getOrDefault(f, 0) > 0;
    }

    /** The store goes away for a moment and comes back from a copy that is some seconds old. */
    private synchronized void restore(long afterMs) {
        if (restoring) {
            return;
        }
        restoring = true;
        long copied = System.nanoTime();
        store.takeCopy();
        repairs.add(start(() -> {
            TimeUnit.MILLISECONDS.sleep(afterMs);
            disturbances.begin(ConfigJudge.STORE);
            setLasting(Fault.STORE_DOWN, 1, store::down);
            TimeUnit.MILLISECONDS.sleep(RESTORE_AWAY_MS);
            restored(copied);
            TimeUnit.MILLISECONDS.sleep(operatorPauseMs());
            write();
            disturbances.end(ConfigJudge.STORE);
        }));
    }

    private synchronized int operatorPauseMs() {
        return operatorRandom.nextInt(1_000);
    }

    private synchronized void restored(long copiedNanos) {
        store.restoreCopy();
        judge.lostSince(copiedNanos);
        setLasting(Fault.STORE_DOWN, -1, store::down);
        restoring = false;
    }

    private Thread start(ThrowingTask task) {
        Thread t = new Thread(() -> {
            try {
                task.run();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } catch (Exception e) {
                failures.add(e.toString());
            }
        });
        t.setDaemon(true);
        t.start();
        return t;
    }

    /** Work on a node. */
    private interface NodeTask {
        void run(EntryProcess node) throws Exception;
    }

    /** Work of a thread. */
    private interface ThrowingTask {
        void run() throws Exception;
    }
}
