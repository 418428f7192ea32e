package org.quetzalvane.entry;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.RegisterExtension;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalvane.platform.BootSettings;
import org.quetzalvane.platform.standin.Arrival;
import org.quetzalvane.platform.standin.CallerClient;
import org.quetzalvane.platform.standin.EndpointStandIn;
import org.quetzalvane.platform.standin.SampleConfig;
import org.quetzalvane.platform.standin.SampleConfig.Account;

import static org.assertj.core.api.Assertions.assertThat;

/** Requests of client accounts through a node, over loopback. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class ClientAccountTest {
    private static final Account FIRST = new Account("first", List.of("k1", "k2"), 0);
    private static final Account WITHOUT_K1 = new Account("first", List.of("k2"), 0);
    private static final String K1 = "Authorization: Bearer k1\r\n";
    private static final String OWN_ACCOUNT = Arrival.ACCOUNT_HEADER.toLowerCase() + ": other\r\n";
    private static final long POLL_MS = 10;
    /** Bound on the time from a revocation to its effect on every node. */
    private static final long APPLY_NANOS = TimeUnit.MILLISECONDS.toNanos(3_000);

    @RegisterExtension
    final LoopbackCluster cluster = new LoopbackCluster();

    private final CompletableFuture<Void> goOn = new CompletableFuture<>();
    private EndpointStandIn plain;
    private BootSettings node;

    @BeforeEach
    void start() throws Exception {
        plain = cluster.add(new EndpointStandIn("plain-1", "plain", (self, x) -> {
            if (x.head().uri().endsWith("slow")) {
                self.respondWithSilence(x, "text/plain", "a", "b", goOn, () -> {});
            } else {
                self.respondComplete(x, "ok");
            }
        }));
        cluster.store().writeEndpoint("plain-1", plain.entry());
        cluster.store().writeConfig(SampleConfig.withAccounts(1, FIRST));
        node = cluster.startNode();
    }

    /** Guards against a caller that states another account's name, and against keys that reach endpoints. */
    @ParameterizedTest
    @CsvSource(
            nullValues = "-",
            value = {"/once/x, Bearer k1, first", "/open/x, bearer k2, first", "/open/x, Basic abc, -", "/open/x, -, -"
            })
    void endpointReceivesTheAccountAndNoCredentials(String path, String authorization, String account)
            throws Exception {
        String headers = OWN_ACCOUNT + (authorization == null ? "" : "authorization: " + authorization + "\r\n");
        assertThat(CallerClient.sendWith(node.callerAddress(), path, "id-1", null, headers + OWN_ACCOUNT))
                .startsWith("HTTP/1.1 200");
        assertThat(plain.arrivals()).hasSize(1);
        assertThat(plain.arrivals().get(0).accounts()).isEqualTo(account == null ? List.of() : List.of(account));
        assertThat(plain.arrivals().get(0).authorization()).isEmpty();
    }

    /** Guards against a request that fails, or arrives under another name, because of the letters of its account. */
    @Test
    void accountNameBeyondAsciiArrivesInUtf8() throws Exception {
        String name = "zażółć À 20%";
        cluster.store().writeConfig(SampleConfig.withAccounts(2, new Account(name, List.of("schlüssel"), 0)));
        // The client sends one byte for each character.
        String key = new String("schlüssel".getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
        String response = "";
        for (int i = 0; !response.startsWith("HTTP/1.1 200"); i++) {
            response = CallerClient.sendWith(
                    node.callerAddress(), "/again/x", "id-" + i, null, "Authorization: Bearer " + key + "\r\n");
        }
        String received = plain.arrivals().get(0).accounts().get(0);
        assertThat(received.getBytes(StandardCharsets.ISO_8859_1)).isEqualTo(name.getBytes(StandardCharsets.UTF_8));
    }

    /** Guards against requests without a valid key that reach an endpoint. */
    @ParameterizedTest
    @ValueSource(strings = {"", "Authorization: Bearer k3\r\n", K1 + K1, "Authorization: Bearer\r\n"})
    void requestWithoutAValidKeyIsUnauthenticated(String headers) throws Exception {
        assertThat(CallerClient.sendWith(node.callerAddress(), "/once/x", "id-1", null, headers))
                .startsWith("HTTP/1.1 401")
                .contains("\"code\":102")
                .containsIgnoringCase("www-authenticate: Bearer\r\n")
                .doesNotContainIgnoringCase("retry-after");
        assertThat(CallerClient.sendWith(node.callerAddress(), "/nowhere/x", "id-2", null, headers))
                .startsWith("HTTP/1.1 404");
        assertThat(plain.arrivals()).isEmpty();
    }

    /** Guards against malformed token counts that are charged as if none were stated; only accounts are checked. */
    @ParameterizedTest
    @CsvSource(
            delimiter = ';',
            value = {
                "100,20; 200",
                " 100 , 0 ; 200",
                "100; 400",
                "100,; 400",
                ",20; 400",
                "100,20,30; 400",
                "100,20,; 400",
                "-1,20; 400",
                "1.5,20; 400",
                "x,20; 400",
                "1000000000000,1; 400",
                "; 400"
            })
    void tokenCountsOfAnAccountMustBeTwoNumbers(String counts, int status) throws Exception {
        String header = CallerClient.TOKENS_HEADER + ": " + (counts == null ? "" : counts) + "\r\n";
        assertThat(CallerClient.sendWith(node.callerAddress(), "/open/x", "id-1", null, header))
                .startsWith("HTTP/1.1 200");
        String response = CallerClient.sendWith(node.callerAddress(), "/again/x", "id-2", null, K1 + header);
        assertThat(response).startsWith("HTTP/1.1 " + status);
        assertThat(response.contains("\"code\":101")).isEqualTo(status == 400);
        assertThat(plain.arrivals()).hasSize(status == 400 ? 1 : 2);
        assertThat(CallerClient.sendWith(node.callerAddress(), "/again/x", "id-3", null, K1 + header + header))
                .startsWith("HTTP/1.1 400");
    }

    /** Guards against a change of what endpoints receive in deployments without accounts. */
    @Test
    void withoutAccountsBothHeadersArriveInTheirPlaces() throws Exception {
        cluster.store().writeConfig(SampleConfig.withVersion(2));
        String headers = "X-A: 1\r\n" + K1 + "X-B: 2\r\n" + OWN_ACCOUNT + "X-C: 3\r\n" + K1;
        Arrival last = awaitArrival("/again/x", headers);
        assertThat(last.authorization()).containsExactly("Bearer k1", "Bearer k1");
        assertThat(last.accounts()).containsExactly("other");
        assertThat(last.headerNames())
                .containsSubsequence(
                        "X-A", "Authorization", "X-B", Arrival.ACCOUNT_HEADER.toLowerCase(), "X-C", "Authorization");
    }

    /** Guards against a key that stays valid on an open connection, for requests that were sent before its revocation. */
    @Test
    void keyRevokedOnAnOpenConnectionIsRefusedForThePipelinedRequest() throws Exception {
        CompletableFuture<String> responses = CompletableFuture.supplyAsync(
                () -> sendUnchecked(CallerClient.request("POST", "/once/slow", "id-1", null, K1)
                        + CallerClient.request("POST", "/once/x", "id-2", null, "Connection: close\r\n" + K1)));
        while (plain.arrivals().isEmpty()) {
            TimeUnit.MILLISECONDS.sleep(POLL_MS);
        }
        cluster.store().writeConfig(SampleConfig.withAccounts(2, WITHOUT_K1));
        awaitRefusal(node, "/again/x", K1);
        goOn.complete(null);
        String both = responses.get(20, TimeUnit.SECONDS);
        assertThat(both.split("HTTP/1.1 ", -1)).hasSize(3);
        assertThat(both).startsWith("HTTP/1.1 200").contains("HTTP/1.1 401", "\"code\":102");
        assertThat(plain.arrivals()).extracting(Arrival::requestId).doesNotContain("id-2");
        assertThat(CallerClient.sendWith(node.callerAddress(), "/once/x", "id-3", null, "Authorization: Bearer k2\r\n"))
                .startsWith("HTTP/1.1 200");
    }

    /** Guards against a node, hub or member, on which a revoked key stays valid beyond the bound. */
    @Test
    void revocationTakesEffectOnEveryNodeInTime() throws Exception {
        List<BootSettings> nodes = new ArrayList<>(List.of(node));
        for (int i = 0; i < 4; i++) {
            nodes.add(cluster.startNode());
        }
        cluster.awaitNodesKnowEachOther();
        cluster.store().writeConfig(SampleConfig.withAccounts(2, WITHOUT_K1));
        long writtenNanos = System.nanoTime();
        for (BootSettings n : nodes) {
            awaitRefusal(n, "/again/x", K1);
        }
        assertThat(System.nanoTime() - writtenNanos).isLessThan(APPLY_NANOS);
    }

    /** Guards against a malformed version that takes effect, or whose keys are logged as valid. */
    @Test
    void malformedVersionLeavesTheLastValidOneInForce() throws Exception {
        cluster.store()
                .writeConfig(SampleConfig.withAccounts(
                        2, new Account("a", List.of("k9"), 0), new Account("b", List.of("k9"), 0)));
        cluster.store().writeConfig(SampleConfig.withAccounts(3, FIRST, new Account("c", List.of("k7"), 0)));
        String response = "";
        while (!response.startsWith("HTTP/1.1 200")) {
            response = CallerClient.sendWith(
                    node.callerAddress(), "/again/x", "id-7", null, "Authorization: Bearer k7\r\n");
        }
        assertThat(CallerClient.sendWith(
                        node.callerAddress(), "/again/x", "id-9", null, "Authorization: Bearer k9\r\n"))
                .startsWith("HTTP/1.1 401");
        assertThat(CallerClient.sendWith(node.callerAddress(), "/again/x", "id-1", null, K1))
                .startsWith("HTTP/1.1 200");
    }

    /** Guards against a resumed stream whose second attempt lacks the account, or carries the key. */
    @Test
    void resumedStreamCarriesTheAccountAndNoKey() throws Exception {
        List<EndpointStandIn> engines = List.of(engine("engine-1"), engine("engine-2"));
        String response = "";
        for (int i = 0; !response.contains("data: event 6\n"); i++) {
            response =
                    CallerClient.sendWith(node.callerAddress(), "/events/x", "stream-" + i, "m/a1", K1 + OWN_ACCOUNT);
        }
        for (EndpointStandIn e : engines) {
            assertThat(e.arrivals()).isNotEmpty().allSatisfy(a -> {
                assertThat(a.accounts()).containsExactly("first");
                assertThat(a.authorization()).isEmpty();
            });
        }
    }

    /** Guards against a node in strict mode that serves under keys that may have been revoked, or refuses others. */
    @Test
    void strictNodeRefusesRequestsThatNeedAKeyWhenItsConfigurationIsOld() throws Exception {
        BootSettings s = TestSettings.of("strict", Set.of(), cluster.store().address());
        BootSettings strict = cluster.startNode(TestSettings.withRevocation(s, new BootSettings.Revocation(true, 500)));
        cluster.store().down(true);
        String refused = "";
        while (!refused.startsWith("HTTP/1.1 503")) {
            refused = CallerClient.sendWith(strict.callerAddress(), "/again/x", "id-1", null, K1);
        }
        assertThat(refused).contains("\"code\":207");
        assertThat(CallerClient.sendWith(strict.callerAddress(), "/open/x", "id-2", null, K1))
                .startsWith("HTTP/1.1 200");
        assertThat(CallerClient.sendWith(node.callerAddress(), "/again/x", "id-3", null, K1))
                .startsWith("HTTP/1.1 200");
    }

    /** Sends requests until one arrives at the endpoint with an Authorization header. */
    private Arrival awaitArrival(String path, String headers) throws IOException {
        for (int i = 0; ; i++) {
            CallerClient.sendWith(node.callerAddress(), path, "id-" + i, null, headers);
            Arrival last = plain.arrivals().isEmpty()
                    ? null
                    : plain.arrivals().get(plain.arrivals().size() - 1);
            if (last != null && !last.authorization().isEmpty()) {
                return last;
            }
        }
    }

    private static void awaitRefusal(BootSettings node, String path, String headers) throws IOException {
        String response = "";
        for (int i = 0; !response.startsWith("HTTP/1.1 401"); i++) {
            response = CallerClient.sendWith(node.callerAddress(), path, "poll-" + i, null, headers);
        }
    }

    private EndpointStandIn engine(String id) {
        EndpointStandIn e = cluster.add(new EndpointStandIn(id, "engines", (self, x) -> {
            int last = EndpointStandIn.lastEventId(x);
            self.respondWithEvents(x, last + 1, last == 0 ? 3 : 6, last > 0);
        }));
        cluster.store().writeEndpoint(id, e.entry());
        return e;
    }

    private String sendUnchecked(String bytes) {
        try {
            return CallerClient.sendRaw(node.callerAddress(), bytes);
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }
}
