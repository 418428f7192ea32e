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
 * The demonstration: three nodes serve streamed requests of several adapters at once, ride out a failed load, make a
 * service call and a refusal, and go on when one of them is killed.
 *
 * <p>Exit code 0 when every outcome was right, 1 otherwise. Used by the main thread only.
 */
public final class Demo {
    private static final String TOKEN = "demo-token";
    private static final int ADAPTERS = 3;
    private static final String UNLOADED = "a4";
    private static final int TOKENS = 20;
    /** Times that a caller comes back as told; on a busy machine the forecast of a load may hold only later. */
    private static final int COME_BACKS = 5;

    private static final Duration FAILOVER_LIMIT = Duration.ofSeconds(20);

    private final LocalCluster cluster;
    private final List<String> wrong = new ArrayList<>();
    private int checks;

    private Demo(LocalCluster cluster) {
        this.cluster = cluster;
    }

    /** Runs the demonstration. */
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
        say("publishing configuration");
        cluster.publishEndpoints();
        publishAdapters();
        cluster.awaitOwners();
        say("streamed requests of " + ADAPTERS + " adapters at once");
        serveAll("before the failure");
        say("a load that fails");
        failLoad();
        say("service call");
        callService();
        say("a request that must be refused");
        refuse();
        printTimeline("time line so far");
        say("killing the owner of an engine");
        killOwner();
        serveAll("after the failure");
        printTimeline("time line of the nodes that live");
        say(checks + " checks, " + wrong.size() + " wrong");
        wrong.forEach(w -> say("WRONG: " + w));
        return wrong.isEmpty() ? 0 : 1;
    }

    private void publishAdapters() throws IOException {
        List<ObjectNode> records = new ArrayList<>();
        records.add(Records.caller("angler", TOKEN));
        records.add(Records.rule("anglers", "angler", "adapter:*"));
        records.add(Records.rule("bookings", "angler", "service:booking"));
        for (int i = 1; i <= ADAPTERS; i++) {
            records.add(Records.adapter("a" + i, LocalCluster.BASE_MODEL));
            records.add(Records.version("a" + i, 1));
        }
        records.add(Records.adapter(UNLOADED, LocalCluster.BASE_MODEL));
        records.add(Records.version(UNLOADED, 1));
        cluster.publish(records.toArray(new ObjectNode[0]));
    }

    private void serveAll(String when) {
        CallerClient caller = cluster.caller(TOKEN);
        Map<String, CompletableFuture<CallerClient.Result>> running = new LinkedHashMap<>();
        for (int i = 1; i <= ADAPTERS; i++) {
            String adapter = "a" + i;
            running.put(
                    adapter,
                    CompletableFuture.supplyAsync(
                            () -> caller.completeComingBack(adapter, 1, "hello", TOKENS, COME_BACKS)));
        }
        running.forEach((adapter, answer) -> checkWhole(adapter, when, answer.join()));
    }

    private void checkWhole(String adapter, String when, CallerClient.Result r) {
        boolean right =
                r.isWhole() && r.text().split(" ").length == TOKENS && r.text().startsWith(adapter + "@1#");
        check(right, adapter + " " + when + ": " + r.code() + " " + r.body());
    }

    private void failLoad() {
        cluster.fault(cluster.storeUrl(), "fail_loads", 1);
        CallerClient caller = cluster.caller(TOKEN);
        CallerClient.Result r = caller.complete(UNLOADED, 1, "hello", TOKENS);
        boolean refused = r.code() == ResultCode.LOAD_FAILED.number();
        check(r.isWhole() || refused, UNLOADED + " with a failed load: " + r.code() + " " + r.body());
        Await.until("the load tried again", FAILOVER_LIMIT, () -> caller.complete(UNLOADED, 1, "hello", 1)
                .isWhole());
    }

    private void callService() {
        CallerClient caller = cluster.caller(TOKEN);
        CallerClient.Result where = caller.resolveService("booking");
        String address = where.body().path("address").asText();
        String key = where.body().path("idempotency_key").asText();
        CallerClient.Result first = caller.callAt(address, "booking", key, "{\"hut\":7}");
        CallerClient.Result repeat = caller.callAt(address, "booking", key, "{\"hut\":7}");
        check(first.isWhole() && first.body().equals(repeat.body()), "service call " + first + " repeat " + repeat);
        int ran = cluster.get(cluster.serviceUrl() + "/control/ran").path("ran").size();
        check(ran == 1, "the service ran " + ran + " calls, not 1");
    }

    private void refuse() {
        CallerClient.Result r = cluster.caller("wrong").complete("a1", 1, "hello", TOKENS);
        check(r.code() == ResultCode.UNAUTHENTICATED.number(), "an unknown caller got " + r.code());
        CallerClient.Result v = cluster.caller(TOKEN).complete("a1", 9, "hello", TOKENS);
        check(v.code() == ResultCode.UNKNOWN_VERSION.number(), "an unknown version got " + v.code());
    }

    private void killOwner() {
        CallerClient.Result r = cluster.caller(TOKEN).resolve("a1", 1);
        String owner = r.body().path("node").asText();
        say("killing " + owner);
        cluster.child(owner).kill();
        CallerClient caller = cluster.caller(TOKEN);
        Await.until("a new owner", FAILOVER_LIMIT, () -> caller.complete("a1", 1, "hello", 1)
                .isWhole());
    }

    private void printTimeline(String title) throws IOException {
        List<String> nodes = cluster.nodes().stream()
                .filter(n -> cluster.child(n).isAlive())
                .map(cluster::operators)
                .toList();
        Path log = cluster.directory().resolve("cli.log");
        long before = Files.size(log);
        check(cluster.cli("timeline", "--nodes", String.join(",", nodes)) == 0, "timeline");
        say(title);
        byte[] all = Files.readAllBytes(log);
        System.out.write(all, (int) before, (int) (all.length - before));
        System.out.flush();
    }

    private void check(boolean right, String what) {
        checks++;
        if (!right) {
            wrong.add(what);
        }
    }

    private static void say(String text) {
        System.out.println("demo: " + text);
    }
}
