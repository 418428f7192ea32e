package org.quetzalvane.entry;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.RegisterExtension;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.quetzalvane.platform.BootSettings;
import org.quetzalvane.platform.standin.CallerClient;
import org.quetzalvane.platform.standin.EndpointStandIn;
import org.quetzalvane.platform.standin.RawEndpointStandIn;
import org.quetzalvane.platform.standin.RawEndpointStandIn.End;
import org.quetzalvane.platform.standin.RawEndpointStandIn.Reply;
import org.quetzalvane.platform.standin.SampleConfig;

import static org.assertj.core.api.Assertions.assertThat;

/** Endpoints whose responses have a status that HTTP does not know. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class InvalidStatusNodeTest {
    @RegisterExtension
    final LoopbackCluster cluster = new LoopbackCluster();

    /** Callers got such a status as a response, or waited for one until their deadline. */
    @ParameterizedTest
    @CsvSource({"000", "099", "600", "999"})
    void callerGetsAFailureOrTheResponseOfAnotherEndpoint(String status) throws Exception {
        RawEndpointStandIn broken = cluster.add(new RawEndpointStandIn(r -> respond(r, status)));
        cluster.store().writeConfig(SampleConfig.withVersion(1));
        cluster.store().writeEndpoint("broken-1", broken.entry().replace("\"engines\"", "\"plain\""));
        BootSettings node = cluster.startNodeWithRetries();
        String once = CallerClient.send(node.callerAddress(), "POST", "/once/x", "once", null);
        assertThat(once).startsWith("HTTP/1.1 502").contains("OUTCOME_UNKNOWN");
        EndpointStandIn sound =
                cluster.add(new EndpointStandIn("plain-1", "plain", (self, x) -> self.respondComplete(x, "sound")));
        cluster.store().writeEndpoint("plain-1", sound.entry());
        for (int i = 0; sound.ranRequests().isEmpty(); i++) {
            CallerClient.send(node.callerAddress(), "GET", "/again/x", "await-" + i, null);
        }
        for (int i = 0; i < 5; i++) {
            String again = CallerClient.send(node.callerAddress(), "GET", "/again/x", "again-" + i, null);
            assertThat(again).startsWith("HTTP/1.1 200").endsWith("sound");
        }
    }

    private static Reply respond(String request, String status) {
        String id = RawEndpointStandIn.header(request, CallerClient.ID_HEADER);
        String head = "HTTP/1.1 " + status + " OK\r\n" + CallerClient.ID_HEADER + ": " + id + "\r\n"
                + RawEndpointStandIn.SIGNATURE_HEADER + ": s\r\nContent-Length: 3\r\n\r\n";
        return new Reply(head + "odd", End.KEEP);
    }
}
