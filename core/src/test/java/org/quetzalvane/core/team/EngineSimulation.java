package org.quetzalvane.core.team;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import org.apache.commons.rng.UniformRandomProvider;
import org.quetzalvane.core.fleet.Endpoint;
import org.quetzalvane.core.quarantine.PromptQuarantine;
import org.quetzalvane.core.quarantine.RequestContent;
import org.quetzalvane.core.quarantine.Verdict;

/**
 * Engines and requests over a {@link QuarantineNetwork}: an engine ends 50 to 122 ms after the head of an answer on a
 * crashing part and is back after 6 s; a request that breaks is sent once more. Half of the sound answers are complete
 * within 0.8 s, the others are streams of 1 to 8 s.
 */
final class EngineSimulation {
    static final String SERVICE = "s";
    static final long BACK_AFTER_MS = 6_000;

    final QuarantineNetwork network;
    final List<Engine> engines = new ArrayList<>();
    final Set<String> crashing = new HashSet<>();
    /** Times of ends by crashing requests, ms. */
    final List<Long> ends = new ArrayList<>();
    /** Times at which requests with a crashing part were sent, ms. */
    final List<Long> guiltySends = new ArrayList<>();

    /** Whether responses have no head before they are complete, as those of a plain service. */
    boolean plain;
    /** Whether an engine ends under a crashing request before any byte of its answer has arrived; drawn for each. */
    BooleanSupplier endsUnanswered = () -> false;
    /** Whether an engine ends under a crashing request while it writes the head of its answer. */
    boolean endsWithinHead;
    /** Times that callers send a sound request again after it has failed. */
    int callerRepeats;

    int trials;
    int soundAsked;
    int soundAdmitted;
    int soundPassed;
    private final UniformRandomProvider random;
    private long lastRequest;
    private long lastIdentity;
    private long born;

    /** One engine; its state is that of the current instance. */
    final class Engine {
        final String id;
        boolean up = true;
        Endpoint instance;
        final List<Run> runs = new ArrayList<>();

        Engine(String id) {
            this.id = id;
            renew();
        }

        private void renew() {
            instance = new Endpoint(id, SERVICE, "127.0.0.1", 1, "a", "v1", Endpoint.State.READY, 4, ++born, Map.of());
        }

        /** Ends the instance: all of its connections break at once; it is back after a time. */
        void end(long backAfterMs) {
            if (!up) {
                return;
            }
            up = false;
            breakConnections();
            at(backAfterMs, () -> {
                renew();
                up = true;
            });
        }

        /** Breaks one connection, as if its response was truncated. */
        void truncateOne() {
            if (!runs.isEmpty()) {
                runs.remove(random.nextInt(runs.size())).broken();
            }
        }

        /** Breaks all connections, whether or not the instance ends. */
        void breakConnections() {
            List<Run> broken = List.copyOf(runs);
            runs.clear();
            broken.forEach(r -> at(random.nextLong(6), r::broken));
        }
    }

    /** One request at one node; an attempt of it runs at most at one engine. */
    final class Run {
        final QuarantineNetwork.Node node;
        final String identity;
        final List<String> parts;
        final RequestContent content;
        final int repeats;
        final boolean guilty;
        Engine engine;
        Endpoint instance;
        long sentMs;
        long headMs = -1;
        boolean withinHead;
        int attempts;

        Run(QuarantineNetwork.Node node, String identity, List<String> parts, int repeats) {
            this.node = node;
            this.identity = identity;
            this.parts = parts;
            this.repeats = repeats;
            this.content = RequestContent.of(SERVICE, identity.hashCode(), parts, "r" + ++lastRequest);
            this.guilty = crashing.contains(identity) || parts.stream().anyMatch(crashing::contains);
        }

        void start() {
            Verdict v = quarantine().check(content);
            if (!guilty && attempts == 0) {
                soundAsked++;
                soundAdmitted += v.maySend() ? 1 : 0;
            }
            if (!v.maySend() || ++attempts > 2) {
                repeat();
                return;
            }
            engine = engines.get(random.nextInt(engines.size()));
            if (!engine.up) {
                quarantine().recordUnreachable(engine.instance);
                List<Engine> up = engines.stream().filter(e -> e.up).toList();
                if (up.isEmpty()) {
                    repeat();
                    return;
                }
                engine = up.get(random.nextInt(up.size()));
            }
            if (guilty) {
                guiltySends.add(network.nowMs());
                trials += v.kind() == Verdict.Kind.TRIAL ? 1 : 0;
            }
            instance = engine.instance;
            sentMs = network.nowMs();
            engine.runs.add(this);
            if (!plain && guilty && endsUnanswered.getAsBoolean()) {
                at(10 + random.nextLong(150), this::crash);
            } else if (!plain && guilty && endsWithinHead) {
                at(10 + random.nextLong(150), this::crashWithinHead);
            } else if (!plain) {
                at(10 + random.nextLong(150), this::head);
            } else if (guilty) {
                at(50 + random.nextLong(72), this::crash);
            } else {
                at(30 + random.nextLong(120), this::done);
            }
        }

        /** The caller sends a sound request again. */
        private void repeat() {
            if (!guilty && repeats > 0) {
                at(50 + random.nextLong(400), () -> request(identity, parts, repeats - 1));
            }
        }

        private PromptQuarantine quarantine() {
            return node.quarantine();
        }

        private void head() {
            if (!engine.runs.contains(this)) {
                return;
            }
            headMs = network.nowMs();
            if (guilty) {
                at(50 + random.nextLong(72), this::crash);
            } else if (random.nextBoolean()) {
                at(50 + random.nextLong(750), this::done);
            } else {
                at(PromptQuarantine.BEGINNING_MS + random.nextLong(100), this::pass);
                at(1_200 + random.nextLong(7_000), this::done);
            }
        }

        private void crashWithinHead() {
            withinHead = engine.runs.contains(this);
            crash();
        }

        private void crash() {
            if (engine.runs.contains(this)) {
                ends.add(network.nowMs());
                engine.end(BACK_AFTER_MS);
            }
        }

        private void pass() {
            if (engine.runs.contains(this) && headMs >= 0) {
                soundPassed++;
                node.scheduler.run(() -> quarantine().recordPastBeginning(content));
            }
        }

        private void done() {
            if (engine.runs.remove(this) && (plain || headMs >= 0)) {
                if (plain || network.nowMs() - headMs < PromptQuarantine.BEGINNING_MS) {
                    soundPassed++;
                    node.scheduler.run(() -> quarantine().recordPastBeginning(content));
                }
            }
        }

        /** The connection broke. */
        void broken() {
            boolean begun = headMs >= 0;
            boolean partOfHead = withinHead;
            long age = partOfHead ? 0 : network.nowMs() - (begun ? headMs : sentMs);
            headMs = -1;
            withinHead = false;
            node.scheduler.run(() -> {
                RequestContent evidence = begun || partOfHead ? content : content.withoutPromptParts();
                quarantine().recordBroken(instance, evidence, age, partOfHead);
                at(3, () -> node.scheduler.run(this::start));
            });
        }
    }

    EngineSimulation(QuarantineNetwork network, int engineCount) {
        this.network = network;
        this.random = network.random;
        for (int i = 0; i < engineCount; i++) {
            engines.add(new Engine("e" + i));
        }
    }

    void at(long delayMs, Runnable task) {
        network.clock.schedule(Duration.ofMillis(delayMs), task);
    }

    /** Starts a request that no other one repeats at a random node. */
    void request(List<String> parts) {
        request("unique-" + ++lastIdentity, parts);
    }

    /** Starts a request at a random node; requests with the same identity are repeats. */
    void request(String identity, List<String> parts) {
        request(identity, parts, callerRepeats);
    }

    private void request(String identity, List<String> parts, int repeats) {
        QuarantineNetwork.Node node = network.nodes.get(random.nextInt(network.nodes.size()));
        node.scheduler.run(new Run(node, identity, parts, repeats)::start);
    }

    /** Requests that arrive at random, at a mean rate per second, for a time from now. */
    void arrivals(double perSecond, long forMs, Supplier<List<String>> parts) {
        long until = network.nowMs() + forMs;
        next(perSecond, until, () -> request(parts.get()));
    }

    /** Starts one of five sound requests that many callers send with the same content. */
    void popularRequest() {
        int i = random.nextInt(5);
        request("popular-" + i, List.of("all", "m" + i, "r" + i));
    }

    /** Something that happens at random, at a mean rate per second, for a time from now. */
    void happens(double perSecond, long forMs, Runnable what) {
        next(perSecond, network.nowMs() + forMs, what);
    }

    private void next(double perSecond, long until, Runnable what) {
        long delay = Math.round(-1_000 * Math.log(1 - random.nextDouble()) / perSecond);
        if (network.nowMs() + delay < until) {
            at(delay, () -> {
                what.run();
                next(perSecond, until, what);
            });
        }
    }

    /** The parts of a sound request: one that all have, one of ten that many have, and one of many that few have. */
    List<String> soundParts(int rareParts) {
        return List.of("all", "m" + random.nextInt(10), "r" + random.nextInt(rareParts));
    }

    /** The parts of a request with a crashing part beside some that sound requests have. */
    List<String> guiltyParts(String part, int rareParts) {
        List<String> parts = new ArrayList<>(soundParts(rareParts));
        parts.add(1 + random.nextInt(3), part);
        return parts;
    }

    /** Sends of requests with a crashing part later than a time after the fifth end. */
    long sendsLaterThan(long afterFifthEndMs) {
        return sendsLaterThan(5, afterFifthEndMs);
    }

    /** Sends of crashing requests later than a time after the given end, counted from 1. */
    long sendsLaterThan(int end, long afterMs) {
        if (ends.size() < end) {
            return 0;
        }
        long from = ends.get(end - 1) + afterMs;
        return guiltySends.stream().filter(t -> t > from).count();
    }
}
