package org.quetzalvane.entry;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;
import org.quetzalvane.core.residency.LoadRequest;
import org.quetzalvane.core.routes.AdapterRef;
import org.quetzalvane.core.team.PeerMessage;
import org.quetzalvane.platform.BootSettings;
import org.quetzalvane.transport.Addresses;
import org.quetzalvane.transport.NettyEventLoop;
import org.quetzalvane.transport.PeerTransport;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class EarlyPeerMessageTest {
    private static final long REPLY_TIMEOUT_S = 5;

    @RegisterExtension
    final LoopbackCluster cluster = new LoopbackCluster();

    private final BlockingQueue<byte[]> received = new LinkedBlockingQueue<>();

    /** Guards against a message that arrives once the node listens to peers and fails while it is still starting. */
    @Test
    void messageDuringTheStartIsAnswered() throws Exception {
        BootSettings settings = TestSettings.of("n1", Set.of(), cluster.store().address());
        EntryNode node = new EntryNode(settings);
        NettyEventLoop loop = new NettyEventLoop();
        int callerPort = Addresses.parse(settings.callerAddress()).getPort();
        // The start ends between listening to peers and the first tasks.
        try (ServerSocket taken = new ServerSocket(callerPort, 1, InetAddress.getByName("127.0.0.1"))) {
            assertThatThrownBy(node::start).hasMessageContaining("in use");
            String self = TestPorts.freeAddress();
            byte[] request = new PeerCodec()
                    .encode(new PeerMessage.AdapterLoadRequest(
                            self, 7, "engine-1", new LoadRequest(new AdapterRef("m", "a1"), 0, 1, 500, 1_000)));
            PeerTransport[] peer = new PeerTransport[1];
            peer[0] = new PeerTransport(loop, self, received::add, (to, up) -> peer[0].send(to, request));
            loop.execute(() -> peer[0].setTargets(Set.of(settings.peerAddress())));
            byte[] reply = received.poll(REPLY_TIMEOUT_S, TimeUnit.SECONDS);
            assertThat(reply).as("reply").isNotNull();
            assertThat(new PeerCodec().decode(reply))
                    .isEqualTo(new PeerMessage.AdapterLoadReply(settings.peerAddress(), 7, false, false));
            assertThat(taken.isBound()).isTrue();
        } finally {
            loop.close();
            node.close();
        }
    }
}
