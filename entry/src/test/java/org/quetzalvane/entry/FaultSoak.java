package org.quetzalvane.entry;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.function.UnaryOperator;
import java.util.stream.Collectors;

import org.quetzalvane.platform.standin.PlatformStoreStandIn;
import org.quetzalvane.platform.standin.SampleConfig;
import org.quetzalvane.platform.standin.StreamCaller;
import org.quetzalvane.platform.standin.StreamingEngineStandIn;
import org.quetzalvane.platform.standin.StreamingEngineStandIn.Identity;

/**
 * Nodes in processes of their own, engines that are released and break off streams, and callers that resume them, while
 * faults drawn from a seed follow each other and overlap. Judges from what callers and engines see. The faults are the
 * same for a seed; their moments depend on the machine. Confined to one thread, except for the callers' results.
 */
final class FaultSoak implements AutoCloseable {
    /** Streams with events of two software versions that the platform's pages allow. */
    static final int MIXED_ALLOWED = 2;

    /** Engines that an attempt of a caller may run on, as the route says. */
    private static final int MAX_ATTEMPTS = 2;

    private static final int ENGINES = 6;
    private static final int MIN_ENGINES = 2;
    private static final int ADAPTERS = 8;
    private static final int CALLERS_PER_NODE = 6;
    private static final long NEXT_FAULT_MS = 500;
    private static final int HEARTBEAT_MS = 1_200;
    /** Longest time for which a software version is pending if it is established early, ms. */
    private static final int MAX_PENDING_MS = 3_000;

    private final Random random;
    private final Path directory;
    private final EngineResponses responses;
    private final RepeatJudge repeats = new RepeatJudge(MAX_ATTEMPTS);
    private final PlatformStoreStandIn store = new PlatformStoreStandIn();
    private final List<EntryProcess> nodes = new ArrayList<>();
    private final List<Thread> repairs = new CopyOnWriteArrayList<>();
    private final Set<EntryProcess> disturbed = ConcurrentHashMap.newKeySet();
    private final List<StreamingEngineStandIn> engines = new CopyOnWriteArrayList<>();
    private final List<StreamCaller.Outcome> outcomes = new CopyOnWriteArrayList<>();
    private final List<String> violations = new CopyOnWriteArrayList<>();
    private final List<String> faults = new CopyOnWriteArrayList<>();
    private final AtomicInteger lastEngine = new AtomicInteger();
    private int release = 1;
    private final AtomicInteger configVersion = new AtomicInteger();
    private final Set<StreamingEngineStandIn> draining = ConcurrentHashMap.newKeySet();
    /** Engines that have written their first entries. */
    private final Set<StreamingEngineStandIn> reporting = ConcurrentHashMap.newKeySet();
    /** Ids of engines that have left for good, whose entries a restore may bring back. */
    private final Set<String> gone = ConcurrentHashMap.newKeySet();

    /**
     * Whether streams begin at new software versions early, so that many streams meet several versions: without the
     * loss of all nodes and a restore, the time for which versions are pending protects nothing.
     */
    private volatile boolean establishesEarly;

    private volatile boolean ended;

    /** What happens to nodes, engines and the store. */
    enum Fault {
        NODE_FREEZE,
        NODE_KILL,
        NODE_STOP,
        NODE_HANGUP,
        STORE_DOWN,
        STORE_RESPONSES_LOST,
        STORE_HISTORY_EXPIRED,
        PARTITIONS_DEALT_ANEW,
        CONFIG_CHANGE,
        ENGINE_CRASH,
        /** The engine starts again under its id and address. */
        ENGINE_RESTART,
        /** The same with the next software version. */
        ENGINE_UPGRADE,
        ENGINE_DRAIN,
        ALL_NODES_KILLED,
        /** The store is away for a moment and comes back from a copy that is some seconds old. */
        STORE_RESTORE,
        /** The same while all nodes are killed. */
        STORE_RESTORE_AND_KILL
    }

    /** Faults without a restore of the store. */
    static final Set<Fault> WITHOUT_RESTORE = EnumSet.range(Fault.NODE_FREEZE, Fault.ENGINE_DRAIN);

    /** Creates a soak that has not started, with engines that send each response once. */
    FaultSoak(long seed, Path directory) {
        this(seed, directory, new EngineResponses(0, 0));
    }

    /** Creates a soak that has not started. */
    FaultSoak(long seed, Path directory, EngineResponses responses) {
        this.random = new Random(seed);
        this.directory = directory;
        this.responses = responses;
    }

    /** Runs nodes and callers for a time, under the given kinds of faults. */
    void run(int nodeCount, long seconds, List<Fault> kinds) throws Exception {
        store.writeConfig(config());
        for (int i = 0; i < ENGINES; i++) {
            startEngine("v1");
        }
        startHeartbeats();
        EntryProcess.startAll(nodeCount, store.address(), UnaryOperator.identity(), directory, nodes::add);
        establishesEarly = !kinds.contains(Fault.STORE_RESTORE_AND_KILL);
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < nodeCount * CALLERS_PER_NODE; i++) {
            callers.add(startCaller("c" + i));
        }
        long endNanos = System.nanoTime() + seconds * 1_000_000_000;
        while (System.nanoTime() < endNanos) {
            Fault f = kinds.get(random.nextInt(kinds.size()));
            long forMs = 200 + random.nextInt(3_000);
            if (!takesEngine(f) || engines.size() > MIN_ENGINES) {
                faults.add(f.name());
                begin(f, forMs);
            }
            TimeUnit.MILLISECONDS.sleep(random.nextInt((int) (2 * NEXT_FAULT_MS)));
        }
        ended = true;
        for (Thread t : callers) {
            t.join();
        }
        for (Thread t : repairs) {
            t.join();
        }
    }

    /** Orders that no sound owner sends. */
    List<String> violations() {
        return List.copyOf(violations);
    }

    /** Streams with events missing, repeated or out of order, or that ended too early as complete. */
    List<StreamCaller.Outcome> outOfOrder() {
        return outcomes.stream().filter(StreamCaller.Outcome::outOfOrder).toList();
    }

    /** Streams with events of several software versions. */
    List<StreamCaller.Outcome> mixed() {
        return outcomes.stream().filter(o -> o.versions().size() > 1).toList();
    }

    /** Attempts that got a response that is not, or not only, that of an engine to them, as text. */
    List<String> foreign() {
        List<String> found = new ArrayList<>();
        for (StreamCaller.Outcome o : outcomes) {
            found.addAll(o.foreign());
            o.statuses().forEach((attempt, status) -> {
                if (status.startsWith("2") && responses.onlyFailed(attempt)) {
                    found.add(attempt + " got " + status + " though its engine answered with a failure");
                }
            });
        }
        return found;
    }

    /** Ways in which repeats broke the rules of the retry budget, as text. */
    List<String> repeats() {
        return repeats.findings();
    }

    /** Number of streams that callers received whole. */
    long completeStreams() {
        return outcomes.stream().filter(StreamCaller.Outcome::complete).count();
    }

    /** Numbers for a report. */
    String summary() {
        long resumed = outcomes.stream()
                .filter(o -> o.attempts().stream().anyMatch(a -> !a.contains(" after 0:")))
                .count();
        return "streams " + outcomes.size() + ", complete " + completeStreams() + ", resumed by callers " + resumed
                + ", out of order "
                + outOfOrder().size() + ", mixed " + mixed().size() + ", foreign "
                + foreign().size() + ", " + repeats.summary() + ", orders " + violations + ", faults "
                + faults.stream().collect(Collectors.groupingBy(f -> f, TreeMap::new, Collectors.counting()));
    }

    @Override
    public void close() {
        ended = true;
        nodes.forEach(EntryProcess::close);
        engines.forEach(StreamingEngineStandIn::close);
        store.close();
    }

    private static boolean takesEngine(Fault f) {
        return f.name().startsWith("ENGINE_");
    }

    private Thread startCaller(String name) {
        Random own = new Random(random.nextLong());
        StreamCaller caller = new StreamCaller(
                name, () -> nodes.get(own.nextInt(nodes.size())).settings().callerAddress(), repeats::requested);
        return start(() -> {
            for (int n = 0; !ended; n++) {
                outcomes.add(
                        caller.stream(n, i -> "m/a" + (1 + Math.min(own.nextInt(ADAPTERS), own.nextInt(ADAPTERS)))));
            }
            caller.disconnect();
        });
    }

    private void begin(Fault f, long forMs) throws Exception {
        switch (f) {
            case NODE_FREEZE -> disturb(n -> n.freezeFor(forMs));
            case NODE_KILL -> disturb(n -> n.killFor(forMs));
            case NODE_STOP -> disturb(n -> {
                n.stop();
                n.start();
                n.awaitReady();
            });
            case NODE_HANGUP -> disturb(EntryProcess::hangUp);
            case STORE_DOWN -> {
                store.down(true);
                repair(forMs, () -> store.down(false));
            }
            case STORE_RESPONSES_LOST -> {
                store.dropResponses(true);
                repair(forMs, () -> store.dropResponses(false));
            }
            case STORE_HISTORY_EXPIRED -> store.expire();
            case PARTITIONS_DEALT_ANEW -> store.reassignPartitions(1);
            case CONFIG_CHANGE -> store.writeConfig(config());
            case ENGINE_CRASH -> replaceCrashed(forMs);
            case ENGINE_RESTART -> restart(takeEngine(), 0, forMs);
            case ENGINE_UPGRADE -> restart(takeEngine(), 1, forMs);
            case ENGINE_DRAIN -> replaceDrained(forMs);
            case ALL_NODES_KILLED -> killAll(forMs);
            case STORE_RESTORE -> restoreStore(forMs, () -> {});
            case STORE_RESTORE_AND_KILL -> restoreStore(forMs, () -> killAll(forMs / 4));
            default -> throw new IllegalArgumentException(f.name());
        }
    }

    /** Disturbs one node that is not disturbed yet, in a thread of its own. */
    private void disturb(NodeTask task) {
        disturb(nodes.get(random.nextInt(nodes.size())), task);
    }

    private void killAll(long downMs) {
        nodes.forEach(n -> disturb(n, node -> node.killFor(downMs)));
    }

    /** Writes the engines' entries at intervals. */
    private void startHeartbeats() {
        start(() -> {
            while (!ended) {
                TimeUnit.MILLISECONDS.sleep(HEARTBEAT_MS);
                engines.stream()
                        .filter(reporting::contains)
                        .forEach(e -> store.writeEndpoint(e.identity().id(), e.entry("ready")));
                draining.forEach(e -> store.writeEndpoint(e.identity().id(), e.entry("draining")));
            }
        });
    }

    /** Restores the store from a copy that is taken now and used some seconds later. */
    private void restoreStore(long forMs, Runnable meanwhile) {
        store.takeCopy();
        repair(2_000 + 2 * forMs, () -> {
            store.down(true);
            meanwhile.run();
            TimeUnit.MILLISECONDS.sleep(forMs / 3);
            store.restoreCopy();
            store.down(false);
            store.writeConfig(config());
            engines.forEach(e -> writeAgain(e, () -> engines.contains(e), "ready"));
            draining.forEach(e -> writeAgain(e, () -> draining.contains(e), "draining"));
            repair(3 * HEARTBEAT_MS, () -> gone.forEach(store::removeEndpoint));
        });
    }

    /** Writes an engine's entry at its next heartbeat, if it still lives. */
    private void writeAgain(StreamingEngineStandIn e, BooleanSupplier lives, String state) {
        repair(Math.floorMod(e.identity().hashCode(), HEARTBEAT_MS), () -> {
            if (lives.getAsBoolean()) {
                store.writeEndpoint(e.identity().id(), e.entry(state));
            }
        });
    }

    private void disturb(EntryProcess n, NodeTask task) {
        if (disturbed.add(n)) {
            repairs.add(start(() -> {
                task.run(n);
                disturbed.remove(n);
            }));
        }
    }

    /** An engine that is to be replaced. */
    private StreamingEngineStandIn takeEngine() {
        StreamingEngineStandIn e = engines.remove(random.nextInt(engines.size()));
        repeats.ended(e.identity());
        return e;
    }

    private void replaceCrashed(long downMs) {
        StreamingEngineStandIn old = takeEngine();
        String version = nextVersion();
        old.close();
        repair(downMs, () -> {
            leave(old);
            startEngine(version);
        });
    }

    private void restart(StreamingEngineStandIn old, int versionsLater, long downMs) {
        Identity before = old.identity();
        int version = Integer.parseInt(before.softwareVersion().substring(1)) + versionsLater;
        old.close();
        repair(
                downMs,
                () -> startEngine(new Identity(before.id(), "v" + version, System.currentTimeMillis()), old.port()));
    }

    /** The new engine starts first. */
    private void replaceDrained(long drainMs) throws IOException {
        StreamingEngineStandIn old = takeEngine();
        draining.add(old);
        startEngine(nextVersion());
        store.writeEndpoint(old.identity().id(), old.entry("draining"));
        repair(3_000 + drainMs, () -> {
            draining.remove(old);
            leave(old);
            old.close();
        });
    }

    private void leave(StreamingEngineStandIn old) {
        gone.add(old.identity().id());
        store.removeEndpoint(old.identity().id());
    }

    /** One replacement in three is of a new software version. */
    private String nextVersion() {
        release += random.nextInt(3) == 0 ? 1 : 0;
        return "v" + release;
    }

    private void startEngine(String version) throws IOException {
        startEngine(new Identity("engine-" + lastEngine.incrementAndGet(), version, System.currentTimeMillis()), 0);
    }

    private void startEngine(Identity identity, int port) throws IOException {
        StreamingEngineStandIn e = new StreamingEngineStandIn(
                identity, port, Set.of("a1", "a2"), repeats.observing(identity, responses), violations::add);
        engines.add(e);
        // An engine serves before its first heartbeat; until then, one that starts again is listed as it was before.
        repair(Math.floorMod(identity.hashCode(), HEARTBEAT_MS), () -> {
            store.writeEndpoint(identity.id(), e.entry("ready"));
            reporting.add(e);
        });
        if (establishesEarly) {
            repair(HEARTBEAT_MS + Math.floorMod(identity.hashCode(), MAX_PENDING_MS), store::establishVersions);
        }
    }

    private String config() {
        return SampleConfig.withVersion(configVersion.incrementAndGet()).replace("\"slots\":4", "\"slots\":32");
    }

    private void repair(long afterMs, ThrowingTask task) {
        repairs.add(start(() -> {
            TimeUnit.MILLISECONDS.sleep(afterMs);
            task.run();
        }));
    }

    private Thread start(ThrowingTask task) {
        Thread t = new Thread(() -> {
            try {
                task.run();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } catch (Exception e) {
                violations.add("the soak failed: " + e);
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
