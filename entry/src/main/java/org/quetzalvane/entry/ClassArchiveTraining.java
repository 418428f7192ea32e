package org.quetzalvane.entry;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import org.quetzalvane.core.choice.EndpointLoads;
import org.quetzalvane.core.limit.QuotaBounds;
import org.quetzalvane.core.residency.EngineResidency;
import org.quetzalvane.core.residency.LoadRequest;
import org.quetzalvane.core.routes.AdapterRef;
import org.quetzalvane.core.store.StoreRecord;
import org.quetzalvane.core.team.NodeInfo;
import org.quetzalvane.core.team.PeerMessage;
import org.quetzalvane.platform.BootSettings;
import org.quetzalvane.platform.RecordDecoder;
import org.quetzalvane.platform.TrainingSamples;
import org.quetzalvane.transport.HttpClient;
import org.quetzalvane.transport.HttpResponseListener;
import org.quetzalvane.transport.NettyEventLoop;

/**
 * Training run for the class data sharing (CDS) archive: starts a node on loopback, exercises the peer codec and the
 * record decoder and sends the node one request of each kind, so that the JVM can archive the classes that it loads.
 *
 * <p>Used by the build only, on the main thread. The node is not stopped: the calling code must end the process.
 */
final class ClassArchiveTraining {
    private static final int ADDRESS_COUNT = 5;
    private static final int CONNECT_TIMEOUT_MS = 500;
    private static final long REQUEST_TIMEOUT_S = 5;

    private ClassArchiveTraining() {}

    static void run() throws IOException, InterruptedException {
        String[] addresses = freeAddresses();
        BootSettings settings = new BootSettings(
                "training",
                "a",
                addresses[0],
                addresses[1],
                addresses[2],
                addresses[3],
                100,
                Set.of(addresses[2]),
                addresses[4],
                24,
                2_000,
                8_000,
                3_000,
                true,
                0.2,
                50,
                10_000,
                5,
                BootSettings.Revocation.LENIENT,
                QuotaBounds.DEFAULT,
                BootSettings.DEFAULT_REPORT_INTERVAL_MS,
                BootSettings.DEFAULT_CONFIG_APPLY_MS,
                0);
        EntryNode node = new EntryNode(settings);
        node.start();
        exercisePeerCodec();
        RecordDecoder.config(TrainingSamples.config());
        RecordDecoder.endpoint(TrainingSamples.endpoint());
        NettyEventLoop loop = new NettyEventLoop();
        HttpClient client = new HttpClient(loop, CONNECT_TIMEOUT_MS);
        send(loop, client, addresses[0], TrainingSamples.request());
        send(loop, client, addresses[1], TrainingSamples.readinessRequest());
        send(loop, client, addresses[3], TrainingSamples.directoryRequest());
    }

    private static void exercisePeerCodec() throws IOException {
        PeerCodec codec = new PeerCodec();
        EngineResidency residency = new EngineResidency(1, 2, Map.of("m", Map.of("a", 1)));
        AdapterRef ref = new AdapterRef("m", "a");
        NodeInfo node = new NodeInfo("p", "c", "z", 100, true, true, false);
        List<PeerMessage> all = List.of(
                new PeerMessage.Status(
                        node,
                        3,
                        List.of(1),
                        List.of(1),
                        Map.of("e", new EndpointLoads.Load(1, 2)),
                        Map.of("e", List.of(ref)),
                        Map.of("e", residency),
                        List.of(node),
                        List.of("q"),
                        0,
                        1,
                        1),
                new PeerMessage.View(
                        "p",
                        List.of(node),
                        Map.of(1, "p"),
                        Map.of("e", new EndpointLoads.Load(1, 2)),
                        Map.of("e", 1),
                        List.of(ref),
                        Map.of("e", residency),
                        Map.of("t", new PeerMessage.TopicPosition(1, 1)),
                        Map.of("p", 1L),
                        1,
                        true),
                new PeerMessage.AdapterLoadRequest("p", 1, "e", new LoadRequest(ref, 1, 0, 100, 100)),
                new PeerMessage.AdapterLoadReply("p", 1, true, false),
                new PeerMessage.RecordsRequest("p"),
                new PeerMessage.Records("p", "t", true, List.of(new StoreRecord("k", new byte[1], 1)), 2),
                new PeerMessage.StreamOrigins("p", Map.of("v", List.of(1L))),
                new PeerMessage.StreamOriginRequest("p", 1, 1),
                new PeerMessage.StreamOriginReply("p", 1, "v"),
                new PeerMessage.EndpointLeaving("p", "e", 1),
                new PeerMessage.BudgetRequest("p", 1, "a", 1, 1, 1, 1, 1, 1, 1),
                new PeerMessage.BudgetReply("p", 1, true, 1, 1, 1, 1));
        for (PeerMessage m : all) {
            codec.decode(codec.encode(m));
        }
    }

    private static void send(NettyEventLoop loop, HttpClient client, String to, FullHttpRequest r)
            throws InterruptedException {
        CountDownLatch done = new CountDownLatch(1);
        InetSocketAddress address = org.quetzalvane.transport.Addresses.parse(to);
        loop.execute(() -> client.send(address, r, Long.MAX_VALUE, new HttpResponseListener() {
            @Override
            public void onHead(HttpResponse head) {}

            @Override
            public void onBody(byte[] chunk) {}

            @Override
            public void onComplete() {
                done.countDown();
            }

            @Override
            public void onFailure(boolean notSent, String cause) {
                System.err.println("training request failed: " + cause);
                done.countDown();
            }
        }));
        done.await(REQUEST_TIMEOUT_S, TimeUnit.SECONDS);
    }

    private static String[] freeAddresses() throws IOException {
        String[] addresses = new String[ADDRESS_COUNT];
        ServerSocket[] open = new ServerSocket[ADDRESS_COUNT];
        for (int i = 0; i < ADDRESS_COUNT; i++) {
            open[i] = new ServerSocket(0);
            addresses[i] = "127.0.0.1:" + open[i].getLocalPort();
        }
        for (ServerSocket s : open) {
            s.close();
        }
        return addresses;
    }
}
