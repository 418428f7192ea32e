package org.quetzalvane.core.team;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.apache.commons.rng.UniformRandomProvider;
import org.quetzalvane.core.event.EventCode;
import org.quetzalvane.core.event.StructuredLog;
import org.quetzalvane.core.quarantine.CondemnedSet;
import org.quetzalvane.core.quarantine.LocalQuarantine;
import org.quetzalvane.core.time.ManualScheduler;

/** Nodes that share their quarantine over a fake network with delay and loss, on a manual clock. */
final class QuarantineNetwork {
    /** Nodes up to which all are hubs, and number of hubs beyond. */
    static final int HUBS = 12;

    final ManualScheduler clock = new ManualScheduler();
    final UniformRandomProvider random;
    final List<Node> nodes = new ArrayList<>();
    final Set<String> cutOff = new HashSet<>();
    final Map<EventCode, Integer> events = new TreeMap<>();
    final List<String> condemnedLines = new ArrayList<>();
    double loss;
    int messages;
    int largestInstanceList;

    QuarantineNetwork(int size, UniformRandomProvider random) {
        this.random = random;
        for (int i = 0; i < size; i++) {
            nodes.add(new Node("n" + i, i));
        }
        nodes.forEach(n -> n.exchange.start());
        advance(10);
    }

    /** One node of the network. */
    final class Node {
        final String name;
        final int index;
        final FreezableScheduler scheduler = new FreezableScheduler(clock);
        QuarantineExchange exchange;

        Node(String name, int index) {
            this.name = name;
            this.index = index;
            exchange = create();
        }

        private QuarantineExchange create() {
            StructuredLog log = (code, subject, fields) -> {
                events.merge(code, 1, Integer::sum);
                if (code == EventCode.PROMPT_CONDEMNED || code == EventCode.PROMPT_ACQUITTED) {
                    condemnedLines.add(nowMs() + " " + code + " " + name + " " + subject + " " + List.of(fields));
                }
            };
            return new QuarantineExchange(
                    scheduler, log, new HubLinks(name, this::isHub, this::hubs, this::members, this::send));
        }

        /** Loses all state, as a new process. The timers of the former one go on and find nothing to send. */
        void restart() {
            exchange = create();
            exchange.start();
        }

        LocalQuarantine quarantine() {
            return exchange.local();
        }

        List<CondemnedSet> condemned() {
            return quarantine().condemned();
        }

        boolean isHub() {
            return index < HUBS;
        }

        private Collection<String> hubs() {
            return cutOff.contains(name)
                    ? List.of()
                    : nodes.stream()
                            .filter(n -> n.isHub() && n != this && !cutOff.contains(n.name))
                            .map(n -> n.name)
                            .toList();
        }

        private Collection<String> members() {
            return !isHub() || cutOff.contains(name)
                    ? List.of()
                    : nodes.stream()
                            .filter(n -> !n.isHub() && n.index % HUBS == index && !cutOff.contains(n.name))
                            .map(n -> n.name)
                            .toList();
        }

        private boolean send(String to, PeerMessage m) {
            if (cutOff.contains(name) || cutOff.contains(to)) {
                return false;
            }
            messages++;
            if (random.nextDouble() < loss) {
                return true;
            }
            Node receiver = nodes.get(Integer.parseInt(to.substring(1)));
            clock.schedule(
                    Duration.ofNanos(500_000 + random.nextLong(5_000_000)),
                    () -> receiver.scheduler.run(() -> receiver.exchange.receive(m)));
            return true;
        }
    }

    void advance(long ms) {
        clock.advance(Duration.ofMillis(ms));
    }

    long nowMs() {
        return clock.nanoTime() / 1_000_000;
    }

    /** Nodes at which anything is condemned. */
    long condemning() {
        return nodes.stream().filter(n -> !n.condemned().isEmpty()).count();
    }
}
