package org.quetzalvane.proofs;

import java.io.IOException;
import java.nio.file.Files;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.quetzalvane.standins.harness.LocalCluster;
import org.quetzalvane.standins.harness.Records;

import static org.assertj.core.api.Assertions.assertThat;

/** Configuration over separate processes: lost answers, outages of the log, races and both schemas. */
class ConfigurationTest {
    private static LocalCluster cluster;

    @BeforeAll
    static void start() throws IOException {
        cluster = LocalCluster.builder().nodes(3).engines(1).start();
        cluster.publishEndpoints();
    }

    @AfterAll
    static void stop() {
        cluster.close();
    }

    @Test
    void publishRepeatsLostAppendsAndConfirmsOnEveryNode() throws IOException {
        long before = logEnd();
        cluster.fault(cluster.logUrl(), "lose_answers.config", 2);
        assertThat(cluster.tryPublish(Records.adapter("lost", LocalCluster.BASE_MODEL)))
                .isZero();
        assertThat(logEnd() - before).isEqualTo(3);
        assertThat(Files.readString(cluster.directory().resolve("cli.log")))
                .contains("adapter/lost: in force on 3 of 3 nodes");
    }

    private static long logEnd() {
        return cluster.get(cluster.logUrl() + "/streams/config?max=0")
                .path("end")
                .asLong();
    }
}
