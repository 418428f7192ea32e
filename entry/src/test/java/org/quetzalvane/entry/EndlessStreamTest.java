package org.quetzalvane.entry;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.quetzalvane.platform.BootSettings;
import org.quetzalvane.platform.standin.CallerClient;
import org.quetzalvane.platform.standin.PlatformStoreStandIn;
import org.quetzalvane.platform.standin.RawEndpointStandIn;
import org.quetzalvane.platform.standin.RawEndpointStandIn.End;
import org.quetzalvane.platform.standin.RawEndpointStandIn.Reply;
import org.quetzalvane.platform.standin.SampleConfig;

import static org.assertj.core.api.Assertions.assertThat;

/** Responses of engines that never end, as two callers of one node see them, over loopback. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class EndlessStreamTest {
    private static final String EVENT = "id: 1\ndata: a\n\n";
    private static final String LAST_CHUNK = "0\r\n\r\n";
    private static final int BLOCK_BYTES = 1_024;

    private final PlatformStoreStandIn store = new PlatformStoreStandIn();
    private final List<RawEndpointStandIn> engines = new ArrayList<>();
    private EntryNode node;

    /** What an engine sends without end. */
    private enum Endless {
        EVENT,
        HEAD,
        INTERIM,
        FOREIGN;

        Reply reply(String request) {
            String head = RawEndpointStandIn.streamHead(request, "text/event-stream");
            String block = "x".repeat(BLOCK_BYTES);
            return switch (this) {
                case EVENT -> new Reply(head + "\r\n" + EndlessStreamTest.EVENT + "id: 2\ndata: ", block, End.KEEP);
                case HEAD -> new Reply(head, "h: " + block + "\r\n", End.KEEP);
                case INTERIM -> new Reply("", "HTTP/1.1 102 Processing\r\n\r\n", End.KEEP);
                case FOREIGN -> new Reply(
                        "HTTP/1.1 200 OK\r\n" + CallerClient.ID_HEADER + ": other\r\n\r\n", block, End.KEEP);
            };
        }
    }

    @AfterEach
    void close() {
        engines.forEach(RawEndpointStandIn::close);
        store.close();
        if (node != null) {
            node.close();
        }
    }

    /**
     * The first response to one request never ends; all others are whole. A resumable request goes on at the other
     * engine.
     */
    @ParameterizedTest
    @CsvSource({
        "/single/, EVENT",
        "/single/, HEAD",
        "/single/, INTERIM",
        "/single/, FOREIGN",
        "/events/, EVENT",
        "/events/, HEAD",
        "/events/, INTERIM",
        "/events/, FOREIGN",
    })
    void endlessResponseIsBrokenOffAndAnotherCallerIsServed(String path, Endless endless) throws Exception {
        boolean resumable = path.equals("/events/");
        AtomicInteger first = new AtomicInteger(-1);
        for (int i = 0; i < 2; i++) {
            int engine = i;
            engines.add(new RawEndpointStandIn(request -> {
                boolean endsNever = isRequest(request, "endless") && first.compareAndSet(-1, engine);
                return endsNever ? endless.reply(request) : whole(request);
            }));
        }
        BootSettings settings = start();
        CompletableFuture<String> response = sendAsync(settings, path, "endless");
        String other = CallerClient.send(settings.callerAddress(), "POST", "/single/x", "other", "m/a1");
        assertThat(other).startsWith("HTTP/1.1 200").endsWith(LAST_CHUNK);
        if (resumable) {
            assertThat(response.get()).startsWith("HTTP/1.1 200").endsWith(LAST_CHUNK);
        } else {
            assertThat(isCompleteStream(response.get())).as(response.get()).isFalse();
        }
        assertThat(engines.get(first.get()).awaitBrokenOff(10)).isTrue();
    }

    @Test
    void callerThatDoesNotReadStopsTheEngineAndAnotherCallerIsServed() throws Exception {
        String body = "x".repeat(BLOCK_BYTES);
        RawEndpointStandIn engine = new RawEndpointStandIn(request -> isRequest(request, "endless")
                ? new Reply(
                        RawEndpointStandIn.streamHead(request, "application/octet-stream") + "\r\n", body, End.CLOSE)
                : whole(request));
        engines.add(engine);
        BootSettings settings = start();
        String address = settings.callerAddress();
        int colon = address.indexOf(':');
        try (Socket s = new Socket(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)))) {
            s.getOutputStream()
                    .write(CallerClient.request("POST", "/single/x", "endless", "m/a1", "Connection: close\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
            long written = engine.awaitStalled();
            assertThat(written).isPositive().isLessThan(RawEndpointStandIn.ENDLESS_BYTES);
            String other = CallerClient.send(address, "POST", "/single/x", "other", "m/a1");
            assertThat(other).startsWith("HTTP/1.1 200").endsWith(LAST_CHUNK);
            assertThat(countBytes(s.getInputStream())).isGreaterThan(RawEndpointStandIn.ENDLESS_BYTES);
        }
    }

    private static long countBytes(InputStream in) throws IOException {
        long count = 0;
        byte[] buffer = new byte[64 * 1024];
        for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
            count += n;
        }
        return count;
    }

    private static boolean isRequest(String request, String id) {
        return RawEndpointStandIn.header(request, CallerClient.ID_HEADER).equals(id);
    }

    private static Reply whole(String request) {
        String head = RawEndpointStandIn.streamHead(request, "text/event-stream");
        return new Reply(head + "Content-Length: " + EVENT.length() + "\r\n\r\n" + EVENT, End.KEEP);
    }

    private static boolean isCompleteStream(String response) {
        return response.startsWith("HTTP/1.1 200") && response.endsWith(LAST_CHUNK);
    }

    private static CompletableFuture<String> sendAsync(BootSettings settings, String path, String id) {
        return CompletableFuture.supplyAsync(() -> {
            try {
                return CallerClient.send(settings.callerAddress(), "POST", path + "x", id, "m/a1");
            } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        });
    }

    private BootSettings start() throws IOException, InterruptedException {
        store.writeConfig(SampleConfig.withVersion(1));
        for (int i = 0; i < engines.size(); i++) {
            store.writeEndpoint("engine-" + i, engines.get(i).entry());
        }
        BootSettings settings = TestSettings.of("n1", Set.of(), store.address());
        node = new EntryNode(settings);
        node.start();
        while (!CallerClient.readiness(settings.readinessAddress()).startsWith("HTTP/1.1 200")) {
            TimeUnit.MILLISECONDS.sleep(20);
        }
        return settings;
    }
}
