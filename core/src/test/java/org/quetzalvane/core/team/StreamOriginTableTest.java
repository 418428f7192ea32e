package org.quetzalvane.core.team;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalvane.core.time.ManualScheduler;

import static org.assertj.core.api.Assertions.assertThat;

/** Origins of streams that nodes share over a fake network, on a manual clock. */
class StreamOriginTableTest {
    private static final String UNKNOWN = "unknown";

    private final ManualScheduler clock = new ManualScheduler();
    private final Map<String, StreamOriginTable> nodes = new LinkedHashMap<>();
    private final Set<String> hubs = new HashSet<>();
    private final Set<String> unreachable = new HashSet<>();
    private final Set<String> silent = new HashSet<>();
    private int messages;

    private StreamOriginTable addNode(String name, boolean hub) {
        if (hub) {
            hubs.add(name);
        }
        StreamOriginTable t = new StreamOriginTable(
                clock, name, () -> hubs.stream().filter(h -> !h.equals(name)).toList(), this::send);
        nodes.put(name, t);
        return t;
    }

    private boolean send(String to, PeerMessage m) {
        if (unreachable.contains(to) || unreachable.contains(m.from())) {
            return false;
        }
        messages++;
        StreamOriginTable node = nodes.get(to);
        boolean lost = silent.contains(to);
        clock.schedule(Duration.ofMillis(lost ? 1_000_000 : 1), () -> deliver(node, m));
        return true;
    }

    private static void deliver(StreamOriginTable to, PeerMessage m) {
        if (m instanceof PeerMessage.StreamOrigins o) {
            to.onOrigins(o);
        } else if (m instanceof PeerMessage.StreamOriginRequest r) {
            to.onRequest(r);
        } else if (m instanceof PeerMessage.StreamOriginReply r) {
            to.onReply(r);
        }
    }

    /** The version found within the lookup timeout, {@link #UNKNOWN}, or null if the lookup does not end. */
    private String find(String node, String request) {
        List<String> found = new ArrayList<>();
        nodes.get(node).find(request, v -> found.add(v == null ? UNKNOWN : v));
        advance(StreamOriginTable.LOOKUP_TIMEOUT_MS);
        assertThat(found).hasSizeLessThanOrEqualTo(1);
        return found.isEmpty() ? null : found.get(0);
    }

    private void advance(long ms) {
        clock.advance(Duration.ofMillis(ms));
    }

    @ParameterizedTest
    @CsvSource({"h1, v2", "h2, v2", "m1, v2", "m2, v2"})
    void originIsKnownAtEveryNodeAfterLossOfTheNodeThatRecordedIt(String node, String version) {
        addNode("h1", true);
        addNode("h2", true);
        addNode("m1", false);
        addNode("m2", false);
        addNode("m3", false).record("a", "v2");
        advance(StreamOriginTable.BROADCAST_DELAY_MS + 1);
        unreachable.add("m3");
        assertThat(find(node, "a")).isEqualTo(version);
        assertThat(find(node, "b")).isEqualTo(UNKNOWN);
    }

    @Test
    void restartedHubAsksTheOthers() {
        addNode("h1", true);
        addNode("h2", true).record("a", "v1");
        advance(StreamOriginTable.BROADCAST_DELAY_MS + 1);
        addNode("h1", true);
        assertThat(find("h1", "a")).isEqualTo("v1");
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void lookupEndsAsUnknownIfNoHubReplies(boolean connected) {
        addNode("h1", true);
        addNode("h2", true).record("a", "v1");
        addNode("m1", false);
        (connected ? silent : unreachable).addAll(List.of("h1", "h2"));
        assertThat(find("m1", "a")).isEqualTo(UNKNOWN);
    }

    /** A silent hub must not hide the reply of another one. */
    @Test
    void silentHubDoesNotHideAnOrigin() {
        addNode("h1", true);
        addNode("h2", true);
        addNode("h3", true).record("a", "v1");
        advance(StreamOriginTable.BROADCAST_DELAY_MS + 1);
        silent.addAll(List.of("h1", "h2"));
        addNode("m1", false);
        assertThat(find("m1", "a")).isEqualTo("v1");
    }

    @Test
    void missingIdIsUnknown() {
        addNode("h1", true);
        assertThat(find("h1", null)).isEqualTo(UNKNOWN);
    }

    @Test
    void originsExpireAndAreLimitedInNumber() {
        StreamOriginTable t = addNode("h1", true);
        for (int i = 0; i < StreamOriginTable.MAX_ORIGINS + 5; i++) {
            t.record("r" + i, "v1");
        }
        assertThat(t.size()).isEqualTo(StreamOriginTable.MAX_ORIGINS);
        assertThat(find("h1", "r0")).isEqualTo(UNKNOWN);
        advance(StreamOriginTable.RETENTION_MS + 1);
        assertThat(t.size()).isZero();
    }

    /**
     * Each node begins 20 streams a second. Messages are batched: their number does not depend on the number of
     * streams, and each node receives at most 20 a second from each other node.
     */
    @ParameterizedTest
    @CsvSource({"9, 9", "95, 12", "300, 12"})
    void messagesGrowWithNodesTimesHubs(int nodeCount, int hubCount) {
        for (int i = 0; i < nodeCount; i++) {
            addNode("n" + i, i < hubCount);
        }
        for (int ms = 0; ms < 1_000; ms += 10) {
            int at = ms;
            nodes.forEach((name, t) -> {
                if (at % 50 == 0) {
                    t.record(name + at, "v1");
                    t.record(name + at + "b", "v1");
                }
            });
            advance(10);
        }
        advance(StreamOriginTable.BROADCAST_DELAY_MS);
        int broadcastsPerNode = 20;
        assertThat(messages).isLessThanOrEqualTo(broadcastsPerNode * nodeCount * hubCount);
    }
}
