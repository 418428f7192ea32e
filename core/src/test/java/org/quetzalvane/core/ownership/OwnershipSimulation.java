package org.quetzalvane.core.ownership;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.cluster.Membership;
import org.quetzalvane.core.cluster.NodeContext;
import org.quetzalvane.core.cluster.NodeInfo;
import org.quetzalvane.core.config.ConfigTable;
import org.quetzalvane.core.event.EventLog;
import org.quetzalvane.core.event.HybridClock;
import org.quetzalvane.core.exc.LogExpiredException;
import org.quetzalvane.core.exc.QuetzalvaneException;
import org.quetzalvane.core.log.LogFollower;
import org.quetzalvane.core.model.DataCentre;
import org.quetzalvane.core.model.Engine;
import org.quetzalvane.core.port.LogBatch;
import org.quetzalvane.core.port.LogPort;
import org.quetzalvane.core.time.Scheduler;

/**
 * Three nodes and one engine over an in-memory log, with the production ownership code and a clock that the test
 * advances.
 *
 * <p>A frozen process runs no tasks while its clock advances. A delayed append takes effect when it is delivered. After
 * every tick, at most one process may dispatch. Not thread-safe.
 */
final class OwnershipSimulation {
    static final String ENGINE = "e1";
    static final List<String> NODES = List.of("n1", "n2", "n3");
    static final Duration LEASE = Duration.ofSeconds(3);

    private static final long TICK_NANOS = 100_000_000;
    private static final Duration READ_DELAY = Duration.ofMillis(50);
    private static final Duration POLL_INTERVAL = Duration.ofMillis(200);
    private static final String CONFIG = "{'schema':2,'id':'b','kind':'base-model','name':'b','expectedRevision':0,"
            + "'value':{}}\n{'schema':2,'id':'e','kind':'engine','name':'e1','expectedRevision':0,'value':{'url':'u',"
            + "'host':'h','dataCentre':'r1/a','baseModel':'b','slots':1,'batchSize':1,'checksFencing':false}}";

    private final List<byte[]> records = new ArrayList<>();
    private final List<NodeProcess> processes = new ArrayList<>();
    private final Map<String, NodeProcess> current = new TreeMap<>();
    private final ConfigTable config = new ConfigTable();
    private long nowNanos = 1;
    private long incarnations;
    private int firstOffset;

    OwnershipSimulation() {
        long offset = 0;
        for (String line : CONFIG.replace('\'', '"').split("\n")) {
            config.apply(offset++, line.getBytes(StandardCharsets.UTF_8));
        }
    }

    /** Starts a new process of a node; an older process of the node keeps running. */
    NodeProcess start(String node) {
        NodeProcess p = new NodeProcess(node);
        processes.add(p);
        current.put(node, p);
        p.follower.start(0);
        p.ownership.start();
        return p;
    }

    NodeProcess node(String name) {
        return current.get(name);
    }

    /** Expires all records on the log. */
    void expire() {
        firstOffset = records.size();
    }

    /** Advances the clock in ticks and checks after each that at most one process may dispatch. */
    void advance(Duration time) {
        for (long t = 0; t < time.toNanos(); t += TICK_NANOS) {
            nowNanos += TICK_NANOS;
            processes.forEach(NodeProcess::runDue);
            checkAtMostOneDispatching();
        }
    }

    /** The processes that may dispatch to the engine now. */
    List<String> dispatching() {
        return processes.stream()
                .filter(p -> p.alive && p.ownership.mayDispatch(ENGINE))
                .map(p -> p.self.node() + "/" + p.self.incarnation())
                .toList();
    }

    private void checkAtMostOneDispatching() {
        if (dispatching().size() > 1) {
            throw new AssertionError("two processes may dispatch at " + nowNanos / 1_000_000 + " ms: " + dispatching());
        }
    }

    /** A process of a node, with its own task queue and connection to the log. */
    final class NodeProcess implements Scheduler, LogPort {
        private final PriorityQueue<Task> tasks = new PriorityQueue<>();
        private final List<Runnable> delayedAppends = new ArrayList<>();
        private final NodeInfo self;
        private final Ownership ownership;
        private final LogFollower follower;
        private long taskCount;
        private boolean alive = true;
        private boolean frozen;
        private boolean logDown;
        private boolean delaysAppends;

        NodeProcess(String node) {
            self = new NodeInfo(node, ++incarnations, "host-" + node, new DataCentre("r1", "a"), "c", "p");
            EventLog events = new EventLog(node, new HybridClock(this), 16, e -> {});
            OwnershipConfig timing = OwnershipConfig.of("r1").withLease(LEASE);
            Ownership.Listener noOpListener = new Ownership.Listener() {
                @Override
                public void acquired(Engine engine, long fencingToken) {}

                @Override
                public void lost(String engine) {}
            };
            NodeContext context = new NodeContext(self, this, events);
            ownership = new Ownership(
                    context, timing, this, new OwnershipTable(), new Membership(events), config, noOpListener);
            follower = new LogFollower(this, timing.stream(), this, POLL_INTERVAL, events, ownership::apply);
        }

        Ownership ownership() {
            return ownership;
        }

        boolean alive() {
            return alive;
        }

        void kill() {
            alive = false;
        }

        void toggleFreeze() {
            frozen = !frozen;
        }

        void toggleLog() {
            logDown = !logDown;
        }

        /** Starts to delay appends, or stops and delivers the delayed ones. */
        void toggleAppendDelay() {
            delaysAppends = !delaysAppends;
            delayedAppends.forEach(Runnable::run);
            delayedAppends.clear();
        }

        void runDue() {
            for (int i = tasks.size() * 4; i > 0 && alive && !frozen; i--) {
                Task t = tasks.peek();
                if (t == null || t.dueNanos > nowNanos) {
                    return;
                }
                tasks.poll().body.run();
            }
        }

        @Override
        public long nanoTime() {
            return nowNanos;
        }

        @Override
        public long wallMillis() {
            return nowNanos / 1_000_000;
        }

        @Override
        public Timer schedule(Duration delay, Runnable body) {
            Task t = new Task(nowNanos + Math.max(0, delay.toNanos()), taskCount++, body);
            tasks.add(t);
            return () -> tasks.remove(t);
        }

        @Override
        public CompletableFuture<Long> append(String stream, byte[] data) {
            CompletableFuture<Long> result = new CompletableFuture<>();
            if (logDown) {
                result.completeExceptionally(
                        new QuetzalvaneException(ResultCode.LOG_UNAVAILABLE, "the log is down for this process"));
                return result;
            }
            Runnable effect = () -> {
                records.add(data);
                long offset = records.size() - 1;
                schedule(READ_DELAY, () -> result.complete(offset));
            };
            if (delaysAppends) {
                delayedAppends.add(effect);
            } else {
                effect.run();
            }
            return result;
        }

        @Override
        public CompletableFuture<LogBatch> read(String stream, long from, int max) {
            CompletableFuture<LogBatch> result = new CompletableFuture<>();
            if (logDown) {
                result.completeExceptionally(
                        new QuetzalvaneException(ResultCode.LOG_UNAVAILABLE, "the log is down for this process"));
            } else if (from < firstOffset) {
                result.completeExceptionally(new LogExpiredException(firstOffset));
            } else {
                List<LogBatch.LogRecord> read = new ArrayList<>();
                for (int i = (int) from; i < records.size(); i++) {
                    read.add(new LogBatch.LogRecord(i, records.get(i)));
                }
                LogBatch batch = new LogBatch(read, records.size());
                schedule(READ_DELAY, () -> result.complete(batch));
            }
            return result;
        }
    }

    private record Task(long dueNanos, long number, Runnable body) implements Comparable<Task> {
        @Override
        public int compareTo(Task other) {
            return dueNanos != other.dueNanos
                    ? Long.compare(dueNanos, other.dueNanos)
                    : Long.compare(number, other.number);
        }
    }
}
