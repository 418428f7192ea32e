package org.quetzalvane.adapters.peer;

import java.io.DataOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.peer.PeerMessage;
import org.quetzalvane.core.time.SystemScheduler;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/** Peer messages over TCP. */
class TcpPeerPortTest {
    private static final String HOST = "127.0.0.1";
    private final SystemScheduler scheduler = new SystemScheduler(1);
    private TcpPeerPort server;
    private String address;

    @BeforeEach
    void listen() throws IOException {
        server = TcpPeerPort.builder("c", "secret", scheduler)
                .handler((m, reply) -> {
                    reply.part(new PeerMessage.RecordsRequest(1));
                    reply.part(new PeerMessage.RecordsRequest(2));
                    reply.end(m);
                })
                .listen(HOST + ":0");
        address = HOST + ":" + server.localPort();
    }

    @AfterEach
    void close() throws IOException {
        server.close();
        scheduler.close();
    }

    @Test
    void deliversPartsAndFinalReply() throws IOException {
        try (TcpPeerPort client = TcpPeerPort.builder("c", "secret", scheduler).callOnly()) {
            List<PeerMessage> parts = new ArrayList<>();
            PeerMessage sent = new PeerMessage.RecordsRequest(7);
            assertThat(client.call(address, sent, parts::add).join()).isEqualTo(sent);
            assertThat(parts).containsExactly(new PeerMessage.RecordsRequest(1), new PeerMessage.RecordsRequest(2));
        }
    }

    @Test
    void callFailsWithPeerUnavailableForWrongSecretOrCluster() throws IOException {
        for (String[] wrong : new String[][] {{"c", "other"}, {"d", "secret"}}) {
            try (TcpPeerPort client =
                    TcpPeerPort.builder(wrong[0], wrong[1], scheduler).callOnly()) {
                assertThatThrownBy(() -> client.call(address, new PeerMessage.RecordsRequest(7))
                                .join())
                        .hasRootCauseInstanceOf(Exception.class)
                        .cause()
                        .hasFieldOrPropertyWithValue("code", ResultCode.PEER_UNAVAILABLE);
            }
        }
    }

    @Test
    void keepsServingAfterFrameWithInvalidLength() throws IOException {
        try (Socket socket = new Socket(HOST, server.localPort())) {
            new DataOutputStream(socket.getOutputStream()).writeInt(Integer.MAX_VALUE);
            while (socket.getInputStream().read() >= 0) {
                continue;
            }
        }
        deliversPartsAndFinalReply();
    }
}
