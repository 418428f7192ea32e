package org.quetzalvane.standins.harness;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.quetzalvane.adapters.http.BufferingHttpClient;
import org.quetzalvane.core.ResultCode;

import static org.assertj.core.api.Assertions.assertThat;

class CallerClientTest {
    @Test
    void resultWithoutResponseNamesTheFailureOfTheClient() throws IOException {
        try (BufferingHttpClient httpClient = BufferingHttpClient.start()) {
            CallerClient caller = new CallerClient(httpClient, "t", List.of());
            CallerClient.Result result = caller.completeAt(closedAddress(), "a1", 1, "p", 1);
            assertThat(result.code()).isEqualTo(ResultCode.ENDPOINT_UNREACHABLE.number());
            assertThat(result.body().path("message").asText()).contains("ConnectException");
        }
    }

    private static String closedAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return "127.0.0.1:" + socket.getLocalPort();
        }
    }
}
