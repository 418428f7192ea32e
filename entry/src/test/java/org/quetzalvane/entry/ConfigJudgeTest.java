package org.quetzalvane.entry;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.quetzalvane.platform.standin.KeptCaller.Response;

import static org.assertj.core.api.Assertions.assertThat;

/** The judge of configurations; configuration i of four is acknowledged at i * 100 ms. */
class ConfigJudgeTest {
    private static final int CONFIGS = 4;
    private static final long ACK_INTERVAL_MS = 100;

    private final Disturbances disturbances = new Disturbances();
    private final ConfigJudge judge = new ConfigJudge(disturbances);
    private final long startNanos = System.nanoTime();

    @BeforeEach
    void writeConfigs() {
        for (int i = 0; i < CONFIGS; i++) {
            judge.sent(10 * i);
            judge.acknowledged(i, startNanos + i * ACK_INTERVAL_MS * 1_000_000);
        }
    }

    /** The last configuration has the routes that the third and the fourth one added; it is due from 2,300 ms on. */
    @ParameterizedTest
    @CsvSource({
        "2200, /added-3/x, 404, false",
        "2310, /added-3/x, 404, true",
        "2310, /added-2/x, 404, true",
        "2310, /added-1/x, 200, true",
        "2310, /added-1/x, 404, false",
        "2310, /added-3/x, 200, false",
        "2310, /added-3/x, 503, false"
    })
    void responseOfAnOlderConfigurationIsLateAfterTheBound(long sentMs, String path, int status, boolean late) {
        observe("n0", 1, sentMs, path, status, "");
        assertThat(judge.late()).hasSize(late ? 1 : 0);
        assertThat(judge.impossible()).isEmpty();
    }

    /** The moving route is at the other service in odd configurations. */
    @ParameterizedTest
    @CsvSource({"other, 0, 0", "plain, 1, 0", "more, 0, 1"})
    void serviceOfTheMovingRouteIsJudged(String body, int late, int impossible) {
        observe("n0", 1, 2_310, ConfigSeries.MOVING, 200, body);
        assertThat(judge.late()).hasSize(late);
        assertThat(judge.impossible()).hasSize(impossible);
    }

    @ParameterizedTest
    @CsvSource({"store", "n0"})
    void nothingIsLateWhileTheStoreOrTheNodeIsDisturbed(String name) {
        disturbances.begin(name);
        observe("n0", 1, 20_000, "/added-3/x", 404, "");
        assertThat(judge.late()).isEmpty();
        disturbances.end(name);
        observe("n0", 1, 20_000, "/added-3/x", 404, "");
        assertThat(judge.late()).hasSize(1);
    }

    /** Parameters: run of the process, time since its response of a newer configuration, and whether it reverted. */
    @ParameterizedTest
    @CsvSource({"1, 240, false", "1, 270, true", "2, 270, false"})
    void processRevertsIfItSentAResponseOfANewerConfigurationBefore(int run, long afterMs, boolean reverted) {
        disturbances.begin(ConfigJudge.STORE);
        observe("n0", 1, 500, "/added-3/x", 200, "");
        observe("n0", run, 500 + afterMs, "/added-1/x", 200, "");
        observe("n1", 1, 500 + afterMs, "/added-1/x", 200, "");
        assertThat(judge.reverted()).hasSize(reverted ? 1 : 0);
        assertThat(judge.late()).isEmpty();
    }

    @Test
    void whatARestoredStoreLostIsDueAgainOnceItIsAcknowledgedAgain() {
        judge.lostSince(startNanos + 3 * ACK_INTERVAL_MS * 1_000_000);
        observe("n0", 1, 2_310, "/added-3/x", 404, "");
        assertThat(judge.late()).isEmpty();
        judge.acknowledged(3, startNanos + 2_000_000_000L);
        observe("n0", 1, 4_010, "/added-3/x", 404, "");
        assertThat(judge.late()).hasSize(1);
    }

    /** A 404 counts from any node, another refusal from one in touch. */
    @ParameterizedTest
    @CsvSource({"404, true, 1", "503, true, 0", "503, false, 1", "200, false, 0"})
    void refusalsOnTheSteadyRouteCount(int status, boolean disturbed, int refused) {
        if (disturbed) {
            disturbances.begin("n0");
        }
        observe("n0", 1, 10_000, ConfigSeries.STEADY, status, "");
        assertThat(judge.refused()).hasSize(refused);
    }

    private void observe(String node, int run, long sentMs, String path, int status, String body) {
        long sent = startNanos + sentMs * 1_000_000;
        judge.observe(new ConfigJudge.Probe(node, run, "new", path, sent, sent, new Response(status, body)));
    }
}
