package org.quetzalvane.entry;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.RegisterExtension;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalvane.platform.BootSettings;
import org.quetzalvane.platform.standin.CallerClient;
import org.quetzalvane.platform.standin.EndpointStandIn;
import org.quetzalvane.platform.standin.PlatformStoreStandIn;
import org.quetzalvane.platform.standin.SampleConfig;
import org.quetzalvane.transport.ServerExchange;

import static org.assertj.core.api.Assertions.assertThat;

/** Streams that are resumed while engines of two software versions serve, over loopback. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class MixedVersionStreamTest {
    private static final int STREAMS = 8;
    private static final int MAX_TRIES = 100;
    /** Time after which the origin of a stream is in the store, ms: three intervals of writes. */
    private static final long ARCHIVED_AFTER_MS = 1_500;

    private static final long REPORT_INTERVAL_MS = 500;

    /** Time after which nodes have listed a restored store, ms. */
    private static final long NOTICED_AFTER_MS = 500;

    private static final Pattern EVENT_VERSION = Pattern.compile("event: (v\\d)\n");

    @RegisterExtension
    final LoopbackCluster cluster = new LoopbackCluster();

    private final PlatformStoreStandIn store = cluster.store();
    private final List<EndpointStandIn> engines = new ArrayList<>();
    private BootSettings first;
    private BootSettings second;

    /** The node at which a caller resumes its stream. */
    private enum ResumeAt {
        SAME_NODE,
        OTHER_NODE,
        OTHER_NODE_AFTER_LOSS_OF_THE_FIRST
    }

    @BeforeEach
    void configure() {
        store.writeConfig(SampleConfig.withVersion(1));
    }

    @Test
    void streamResumedWithinOneResponseKeepsItsSoftwareVersion() throws Exception {
        startEngines("v1", "v1", "v2", "v2");
        startNodes();
        for (int i = 0; i < STREAMS; i++) {
            String response = CallerClient.send(first.callerAddress(), "POST", "/events/x", "whole-" + i, "m/a1");
            assertThat(versions(response)).as(response).hasSize(1);
            assertThat(response).contains("data: event 6\n").endsWith("0\r\n\r\n");
        }
    }

    @ParameterizedTest
    @EnumSource(ResumeAt.class)
    void streamResumedByItsCallerKeepsItsSoftwareVersion(ResumeAt at) throws Exception {
        startEngine("engine-3", "v2");
        startEngine("engine-4", "v2");
        startNodes();
        for (int i = 0; i < STREAMS; i++) {
            assertThat(versions(begin("broken-" + i))).containsExactly("v2");
        }
        startEngine("engine-1", "v1");
        startEngine("engine-2", "v1");
        establish("v1");
        awaitNewStreamsAt("v1");
        if (at == ResumeAt.OTHER_NODE_AFTER_LOSS_OF_THE_FIRST) {
            cluster.node(0).close();
        }
        for (int i = 0; i < STREAMS; i++) {
            String rest = resume(at == ResumeAt.SAME_NODE ? first : second, "broken-" + i, "again-" + i);
            assertThat(versions(rest)).containsExactly("v2");
        }
    }

    @ParameterizedTest
    @CsvSource({"v2, 503", "v1, 200"})
    void streamOfUnknownOriginGoesOnOnlyIfThereIsOneSoftwareVersion(String versionOfSecond, int status)
            throws Exception {
        startEngines("v1", versionOfSecond);
        startNodes();
        String response = requestResume(first, "never-seen", "again");
        assertThat(response).startsWith("HTTP/1.1 " + status);
        assertThat(ran("again")).isEqualTo(status == 200);
    }

    /** A node that was cut off while a version joined let streams of that version go on at the one that it knew. */
    @Test
    void streamOfUnknownOriginIsRefusedByANodeThatIsCutOffWhileAVersionJoins() throws Exception {
        startEngines("v1");
        first = cluster.startNode(TestSettings.of("n1", Set.of(), store.secondAddress()));
        assertThat(requestResume(first, "never-seen", "again")).startsWith("HTTP/1.1 200");
        store.cutSecondAddress(true);
        startEngine("engine-2", "v2");
        for (int i = 0; i < STREAMS; i++) {
            assertThat(requestResume(first, "began-elsewhere", "cut-off-" + i)).startsWith("HTTP/1.1 503");
            assertThat(ran("cut-off-" + i)).isFalse();
        }
        store.cutSecondAddress(false);
        String response = requestResume(first, "began-elsewhere", "back");
        assertThat(response).startsWith("HTTP/1.1 503");
        assertThat(ran("back")).isFalse();
    }

    /** An engine started again under its id with another version, and its entry still stated the old one. */
    @Test
    void streamIsNotResumedAtAnEngineThatStartedAgainWithAnotherVersion() throws Exception {
        startEngines("v1", "v1");
        startNodes();
        for (int i = 0; i < STREAMS; i++) {
            assertThat(versions(begin("whole-before-" + i))).containsExactly("v1");
        }
        EndpointStandIn old = engines.get(1);
        old.freeAddress();
        old.close();
        cluster.add(new EndpointStandIn(
                new EndpointStandIn.Instance(old.id(), 2, old.port(), Set.of("a1")),
                "engines",
                "v2",
                (engine, x) -> engine.respondWithEvents(x, EndpointStandIn.lastEventId(x) + 1, 6, true)));
        for (int i = 0; i < STREAMS; i++) {
            String response = begin("whole-after-" + i);
            assertThat(versions(response)).as(response).hasSizeLessThanOrEqualTo(1);
            String rest = requestResume(second, "whole-before-" + i, "again-" + i);
            assertThat(versions(rest)).as(rest).doesNotContain("v2");
        }
    }

    @Test
    void streamWhoseSoftwareVersionIsGoneIsRefusedAsNotRun() throws Exception {
        startEngines("v1");
        startNodes();
        begin("broken");
        startEngine("engine-2", "v2");
        store.removeEndpoint("engine-1");
        String response = "";
        for (int i = 0; i < MAX_TRIES && !response.startsWith("HTTP/1.1 503"); i++) {
            TimeUnit.MILLISECONDS.sleep(20);
            response = requestResume(first, "broken", "again-" + i);
        }
        assertThat(response).startsWith("HTTP/1.1 503").containsIgnoringCase("retry-after");
        assertThat(engines.get(1).ranRequests()).isEmpty();
    }

    /** The origins of all streams are lost with the nodes, and the version that began a stream may have left. */
    @ParameterizedTest
    @CsvSource({"v2, 503", "v1, 200"})
    void streamBrokenByTheLossOfAllNodesGoesOnOnlyAtTheVersionThatBeganIt(String versionAfterwards, int status)
            throws Exception {
        startEngines("v1", "v1");
        startNodes();
        assertThat(versions(begin("broken"))).containsExactly("v1");
        awaitRecorded("v1");
        cluster.closeNodes();
        store.removeEndpoint("engine-1");
        store.removeEndpoint("engine-2");
        startEngine("engine-3", versionAfterwards);
        startNodes();
        for (BootSettings node : List.of(first, second)) {
            String response = requestResume(node, "broken", "again-" + node.nodeName());
            assertThat(response).startsWith("HTTP/1.1 " + status);
            assertThat(ran("again-" + node.nodeName())).isEqualTo(status == 200);
        }
    }

    @Test
    void streamsBrokenByTheLossOfAllNodesGoOnAtTheirVersionsWhileBothServe() throws Exception {
        startEngines("v1", "v2");
        startNodes();
        awaitRecorded("v2");
        List<Set<String>> began = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            began.add(versions(begin("broken-" + i)));
        }
        TimeUnit.MILLISECONDS.sleep(ARCHIVED_AFTER_MS);
        cluster.closeNodes();
        startNodes();
        for (int i = 0; i < STREAMS; i++) {
            assertThat(versions(resume(second, "broken-" + i, "again-" + i))).isEqualTo(began.get(i));
        }
    }

    /** The entry of an engine's earlier run came back with the store, and streams that it began were joined with v1. */
    @Test
    void streamBegunAfterARestoreIsNotJoinedWithTheVersionOfAnEarlierRun() throws Exception {
        startEngines("v1", "v1");
        startNodes();
        awaitNewStreamsAt("v1");
        store.takeCopy();
        EndpointStandIn old = engines.get(1);
        old.freeAddress();
        old.close();
        EndpointStandIn upgraded = cluster.add(new EndpointStandIn(
                new EndpointStandIn.Instance(old.id(), 2, old.port(), Set.of("a1")),
                "engines",
                "v2",
                MixedVersionStreamTest::respond));
        store.writeEndpoint(upgraded.id(), upgraded.entry());
        establish("v2");
        awaitNewStreamsAt("v2");
        store.restoreCopy();
        TimeUnit.MILLISECONDS.sleep(NOTICED_AFTER_MS);
        for (int i = 0; i < 2 * STREAMS; i++) {
            // The base model: an adapter is not asked for until its engine was read.
            String response = CallerClient.send(first.callerAddress(), "POST", "/events/x", "whole-" + i, "m");
            assertThat(versions(response)).as(response).hasSizeLessThanOrEqualTo(1);
        }
    }

    /** Nodes that started after a restore took the only version in the copy for the one that had begun the streams. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void streamBrokenByTheLossOfAllNodesDoesNotGoOnAtTheOnlyVersionInACopy(boolean servesOn) throws Exception {
        startEngines("v1");
        startNodes();
        begin("first");
        awaitRecorded("v1");
        store.takeCopy();
        startEngine("engine-2", "v2");
        establish("v2");
        awaitNewStreamsAt("v2");
        for (int i = 0; i < STREAMS; i++) {
            begin("broken-" + i);
        }
        cluster.closeNodes();
        store.restoreCopy();
        startNodes();
        if (servesOn) {
            store.writeEndpoint("engine-2", engines.get(1).entry());
        }
        for (int i = 0; i < STREAMS; i++) {
            assertThat(requestResume(i % 2 == 0 ? first : second, "broken-" + i, "again-" + i))
                    .startsWith("HTTP/1.1 503");
            assertThat(ran("again-" + i)).isFalse();
        }
        awaitNewStreamsAt("v1");
        assertThat(versions(begin("new"))).hasSize(1);
    }

    /** All streams of the only version were refused after a restore, since the copy might have lacked another one. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void streamBrokenByTheLossOfAllNodesGoesOnAtTheOnlyVersionInAYoungCopy(boolean anotherJoined) throws Exception {
        startEngines("v1", "v1");
        startNodes();
        begin("first");
        awaitRecorded("engine-2");
        store.takeCopy();
        if (anotherJoined) {
            startEngine("engine-3", "v2");
            awaitRecorded("v2");
        }
        for (int i = 0; i < STREAMS; i++) {
            assertThat(versions(begin("broken-" + i))).containsExactly("v1");
        }
        cluster.closeNodes();
        store.restoreCopy();
        startNodes();
        ScheduledExecutorService reports = Executors.newSingleThreadScheduledExecutor();
        try {
            reports.scheduleAtFixedRate(this::writeEntries, 0, REPORT_INTERVAL_MS, TimeUnit.MILLISECONDS);
            for (int i = 0; i < STREAMS; i++) {
                String response = requestResume(i % 2 == 0 ? first : second, "broken-" + i, "again-" + i);
                assertThat(response).startsWith("HTTP/1.1 200");
                assertThat(versions(response)).containsExactly("v1");
            }
        } finally {
            reports.shutdownNow();
        }
    }

    private void writeEntries() {
        engines.forEach(e -> store.writeEndpoint(e.id(), e.entry()));
    }

    /** Waits until a version that joined is recorded, and lets streams begin at it. */
    private void establish(String version) throws InterruptedException {
        awaitRecorded(version);
        store.establishVersions();
    }

    /** Sends a request whose stream breaks off after its third event, at every attempt. */
    private String begin(String id) throws IOException {
        return CallerClient.send(first.callerAddress(), "POST", "/events/x", id, "m/a1");
    }

    /** Waits until the store holds a software version that served. */
    private void awaitRecorded(String version) throws InterruptedException {
        for (int i = 0; i < MAX_TRIES && !store.servedVersions().contains(version); i++) {
            TimeUnit.MILLISECONDS.sleep(20);
        }
    }

    /** Waits until both nodes begin new streams at a software version. */
    private void awaitNewStreamsAt(String version) throws IOException, InterruptedException {
        for (BootSettings node : List.of(first, second)) {
            String response = "";
            for (int i = 0; i < 4 * MAX_TRIES && !versions(response).contains(version); i++) {
                TimeUnit.MILLISECONDS.sleep(20);
                response = CallerClient.send(node.callerAddress(), "POST", "/events/x", "new-" + i, "m/a1");
            }
            assertThat(versions(response)).contains(version);
        }
    }

    /** Resumes a stream, again while it is refused. */
    private static String resume(BootSettings node, String resumes, String id)
            throws IOException, InterruptedException {
        String response = requestResume(node, resumes, id);
        for (int i = 0; i < MAX_TRIES && response.startsWith("HTTP/1.1 503"); i++) {
            TimeUnit.MILLISECONDS.sleep(20);
            response = requestResume(node, resumes, id + "-" + i);
        }
        assertThat(response).contains("data: event 6\n");
        return response;
    }

    private static String requestResume(BootSettings node, String resumes, String id) throws IOException {
        return CallerClient.resume(node.callerAddress(), "/events/x", id, "m/a1", resumes, 3);
    }

    private static Set<String> versions(String response) {
        Set<String> versions = new TreeSet<>();
        for (Matcher m = EVENT_VERSION.matcher(response); m.find(); ) {
            versions.add(m.group(1));
        }
        return versions;
    }

    private boolean ran(String id) {
        return engines.stream().anyMatch(e -> e.ranRequests().contains(id));
    }

    private void startEngines(String... versions) {
        for (String v : versions) {
            startEngine("engine-" + (engines.size() + 1), v);
        }
    }

    private void startEngine(String id, String version) {
        EndpointStandIn e = cluster.add(new EndpointStandIn(id, "engines", version, MixedVersionStreamTest::respond));
        engines.add(e);
        store.writeEndpoint(id, e.entry());
    }

    /** Breaks new streams off after three events, and completes resumed ones unless the request is to break off. */
    private static void respond(EndpointStandIn engine, ServerExchange x) {
        int last = EndpointStandIn.lastEventId(x);
        boolean broken = x.head().headers().get(CallerClient.ID_HEADER).startsWith("broken");
        if (last == 0) {
            engine.respondWithEvents(x, 1, 3, false);
        } else if (broken) {
            engine.respondWithEvents(x, last + 1, last, false);
        } else {
            engine.respondWithEvents(x, last + 1, 6, true);
        }
    }

    private void startNodes() throws Exception {
        first = cluster.startNodeWithRetries();
        second = cluster.startNodeWithRetries();
        cluster.awaitNodesKnowEachOther();
    }
}
