package org.quetzalvane.standins.harness;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.quetzalvane.core.ResultCode;

/**
 * Demonstration on three nodes: streamed requests of several adapters at the same time, a failed load, a service call,
 * refusals, and failover after a node is killed.
 *
 * <p>Exit code 0 if every outcome was correct, 1 otherwise. Used by the main thread only.
 */
public final class Demo {
    private static final String TOKEN = "demo-token";
    private static final int ADAPTERS = 3;
    private static final String UNLOADED_ADAPTER = "a4";
    private static final int TOKENS = 20;
    /**
     * Maximum retries of a refused request, each after the delay given in the refusal; a request is refused while its
     * load is not forecast to finish in time, as on a busy machine.
     */
    private static final int MAX_RETRIES = 5;

    private static final Duration FAILOVER_TIMEOUT = Duration.ofSeconds(20);

    private final LocalCluster cluster;
    private final List<String> wrong = new ArrayList<>();
    private int checks;

    private Demo(LocalCluster cluster) {
        this.cluster = cluster;
    }

    /** Runs the demonstration and exits. */
    public static void main(String[] args) throws IOException {
        System.exit(runOnCluster());
    }

    private static int runOnCluster() throws IOException {
        try (LocalCluster cluster =
                LocalCluster.builder().nodes(3).engines(2).slots(2).start()) {
            return new Demo(cluster).run();
        }
    }

    private int run() throws IOException {
        print("publishing configuration");
        cluster.publishEndpoints();
        publishAdapters();
        cluster.awaitOwners();
        print("streamed requests of " + ADAPTERS + " adapters at the same time");
        completeAll("before the failure");
        print("failed load");
        checkFailedLoad();
        print("service call");
        checkServiceCall();
        print("requests that must be refused");
        checkRefusals();
        printTimeline("timeline so far");
        print("killing the owner of an engine");
        killOwner();
        completeAll("after the failure");
        printTimeline("timeline of the live nodes");
        print(checks + " checks, " + wrong.size() + " wrong");
        wrong.forEach(w -> print("WRONG: " + w));
        return wrong.isEmpty() ? 0 : 1;
    }

    private void publishAdapters() throws IOException {
        List<ObjectNode> records = new ArrayList<>();
        records.add(ConfigRecords.caller("angler", TOKEN));
        records.add(ConfigRecords.accessRule("anglers", "angler", "adapter:*"));
        records.add(ConfigRecords.accessRule("bookings", "angler", "service:booking"));
        for (int i = 1; i <= ADAPTERS; i++) {
            records.add(ConfigRecords.adapter("a" + i, LocalCluster.BASE_MODEL));
            records.add(ConfigRecords.adapterVersion("a" + i, 1));
        }
        records.add(ConfigRecords.adapter(UNLOADED_ADAPTER, LocalCluster.BASE_MODEL));
        records.add(ConfigRecords.adapterVersion(UNLOADED_ADAPTER, 1));
        cluster.publish(records.toArray(new ObjectNode[0]));
    }

    private void completeAll(String when) {
        CallerClient caller = cluster.caller(TOKEN);
        Map<String, CompletableFuture<CallerClient.Result>> results = new LinkedHashMap<>();
        for (int i = 1; i <= ADAPTERS; i++) {
            String adapter = "a" + i;
            results.put(
                    adapter,
                    CompletableFuture.supplyAsync(
                            () -> caller.completeWithRetries(adapter, 1, "hello", TOKENS, MAX_RETRIES)));
        }
        results.forEach((adapter, result) -> checkComplete(adapter, when, result.join()));
    }

    private void checkComplete(String adapter, String when, CallerClient.Result r) {
        boolean correct = r.isComplete()
                && r.text().split(" ").length == TOKENS
                && r.text().startsWith(adapter + "@1#");
        check(correct, adapter + " " + when + ": " + r.code() + " " + r.body());
    }

    private void checkFailedLoad() {
        cluster.setFault(cluster.storeUrl(), "fail_loads", 1);
        CallerClient caller = cluster.caller(TOKEN);
        CallerClient.Result r = caller.complete(UNLOADED_ADAPTER, 1, "hello", TOKENS);
        boolean refused = r.code() == ResultCode.LOAD_FAILED.number();
        check(r.isComplete() || refused, UNLOADED_ADAPTER + " with a failed load: " + r.code() + " " + r.body());
        Polling.waitUntil("a retry of the failed load succeeds", FAILOVER_TIMEOUT, () -> caller.complete(
                        UNLOADED_ADAPTER, 1, "hello", 1)
                .isComplete());
    }

    private void checkServiceCall() {
        CallerClient caller = cluster.caller(TOKEN);
        CallerClient.Result resolved = caller.resolveService("booking");
        String address = resolved.body().path("address").asText();
        String key = resolved.body().path("idempotency_key").asText();
        CallerClient.Result first = caller.callAt(address, "booking", key, "{\"hut\":7}");
        CallerClient.Result retried = caller.callAt(address, "booking", key, "{\"hut\":7}");
        check(
                first.isComplete() && first.body().equals(retried.body()),
                "service call " + first + ", its retry " + retried);
        int ran = cluster.get(cluster.serviceUrl() + "/control/ran").path("ran").size();
        check(ran == 1, "the service ran " + ran + " calls, not 1");
    }

    private void checkRefusals() {
        CallerClient.Result unknownCaller = cluster.caller("wrong").complete("a1", 1, "hello", TOKENS);
        check(
                unknownCaller.code() == ResultCode.UNAUTHENTICATED.number(),
                "an unknown caller got " + unknownCaller.code());
        CallerClient.Result unknownVersion = cluster.caller(TOKEN).complete("a1", 9, "hello", TOKENS);
        check(
                unknownVersion.code() == ResultCode.UNKNOWN_VERSION.number(),
                "an unknown version got " + unknownVersion.code());
    }

    private void killOwner() {
        CallerClient.Result r = cluster.caller(TOKEN).resolve("a1", 1);
        String owner = r.body().path("node").asText();
        print("killing " + owner);
        cluster.child(owner).kill();
        CallerClient caller = cluster.caller(TOKEN);
        Polling.waitUntil("a new owner serves requests", FAILOVER_TIMEOUT, () -> caller.complete("a1", 1, "hello", 1)
                .isComplete());
    }

    private void printTimeline(String title) throws IOException {
        List<String> nodes = cluster.nodes().stream()
                .filter(n -> cluster.child(n).isAlive())
                .map(cluster::operatorAddress)
                .toList();
        Path log = cluster.directory().resolve("cli.log");
        long previousSize = Files.size(log);
        check(cluster.cli("timeline", "--nodes", String.join(",", nodes)) == 0, "timeline");
        print(title);
        byte[] output = Files.readAllBytes(log);
        System.out.write(output, (int) previousSize, (int) (output.length - previousSize));
        System.out.flush();
    }

    private void check(boolean correct, String description) {
        checks++;
        if (!correct) {
            wrong.add(description);
        }
    }

    private static void print(String text) {
        System.out.println("demo: " + text);
    }
}
