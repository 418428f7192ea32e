import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A node freezes for 2.5 s while a stream goes through it. The owner of the engine forgets the stream, evicts its
 * adapter, and 10 s later takes the place of the adapter as free although the run goes on.
 */
public final class LimitCase {
    private static final int PLACES = 21;
    private static final int GAP_MS = 100;
    private static final int LONG_EVENTS = 180;

    private static Record record;
    private static final Map<String, String> ends = new ConcurrentHashMap<>();

    private LimitCase() {}

    public static void main(String[] args) throws Exception {
        Path directory = Path.of(args[0]);
        Path temporary = Record.temporary();
        record = new Record(directory);
        int exit = 2;
        String ip = Node.freeIp();
        Store store = new Store(ip);
        Engine engine = new Engine("i-7f3a91c2", ip, 64, PLACES, GAP_MS, record::line);
        Node one = new Node("frontend-qs-a-1", store.address(), temporary, List.of());
        Node two = new Node("frontend-qs-a-2", store.address(), temporary, List.of(one.ip));
        try {
            store.config(config());
            store.server(engine.id, engine.entry("lm-pool"));
            one.start();
            two.start();
            one.awaitReady();
            two.awaitReady();
            Servers.daemon(() -> beat(store, engine));
            exit = play(engine, one, two);
        } catch (Exception e) {
            record.line("could not run: " + e);
        } finally {
            one.close();
            two.close();
            engine.close();
            store.close();
            record.line("exit " + exit);
            record.close();
        }
        System.exit(exit);
    }

    private static int play(Engine engine, Node one, Node two) throws Exception {
        // The first short request shows which node owns the engine.
        Thread.sleep(3_000);
        for (int i = 0; i < 10 && engine.lastHolder() == null; i++) {
            request("first-" + i, one, "a1000", 2).join();
            Thread.sleep(500);
        }
        if (engine.lastHolder() == null) {
            record.line("no node took the engine");
            return 2;
        }
        Node owner = engine.lastHolder().startsWith(one.ip + ":") ? one : two;
        Node other = owner == one ? two : one;
        record.line("owner of the engine " + owner.name + ", other node " + other.name);

        // 20 long streams through the owner, one through the other node: all 21 places are in use.
        for (int i = 2; i <= PLACES; i++) {
            request("long-" + i, owner, "a" + i, LONG_EVENTS);
            Thread.sleep(350);
        }
        request("long-1", other, "a1", LONG_EVENTS);
        Thread.sleep(1_500);
        if (engine.running() != PLACES) {
            record.line("only " + engine.running() + " streams run");
            return 2;
        }
        if (Record.trouble()) {
            other.signal("STOP");
            record.line(other.name + " frozen");
        }
        Thread.sleep(1_900);
        request("new-1", owner, "a101", 2);
        Thread.sleep(600);
        if (Record.trouble()) {
            other.signal("CONT");
            record.line(other.name + " thawed");
        }
        Thread.sleep(9_800);
        for (int i = 2; i <= 4 && !engine.crashed(); i++) {
            request("new-" + i, owner, "a" + (100 + i), 2);
            Thread.sleep(400);
        }
        Thread.sleep(500);
        for (int i = 0; i < 100 && !engine.crashed() && engine.running() > 0; i++) {
            Thread.sleep(100);
        }
        record.line("answers: " + ends);
        if (engine.crashed()) {
            record.line("LIMIT broken: the replica was ordered to load more than adapter_slots hold, and crashed");
            return 1;
        }
        return 0;
    }

    private static void beat(Store store, Engine engine) {
        try {
            while (!engine.crashed()) {
                Thread.sleep(1_200);
                store.server(engine.id, engine.entry("lm-pool"));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Sends one request and follows its answer to the end. */
    private static Thread request(String id, Node node, String adapter, int events) {
        Thread t = new Thread(() -> {
            String end;
            try (Socket s = new Socket(node.ip, 8149)) {
                record.line("client sends " + id + " for " + adapter + " to " + node.name);
                Servers.write(
                        s.getOutputStream(),
                        "POST /pufi791/x HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: " + id + "\r\nX-Model: "
                                + Engine.MODEL + "/" + adapter + "\r\nX-Token-Usage: 1460," + 3 * events
                                + "\r\nX-Prompt-Prefix: 5c1e07a2:210,91bd3f06:140,e4402b7d:1110"
                                + "\r\nX-Deadline-Ms: 20000\r\nContent-Length: 2\r\n\r\nhi");
                Wire.Message m = Wire.read(new BufferedInputStream(s.getInputStream()), true);
                end = m == null ? "closed" : m.status() + (m.complete() ? "" : ", broken off");
            } catch (IOException e) {
                end = e.toString();
            }
            ends.put(id, end);
            record.line("client got " + id + ": " + end);
        });
        t.setDaemon(true);
        t.start();
        return t;
    }

    private static String config() {
        return "{\"version\":7,\"routes\":[{\"name\":\"gear-draft\",\"host\":\"ficu95.example\","
                + "\"path_prefix\":\"/pufi791/\",\"kind\":\"streaming\",\"timeout_ms\":20000,"
                + "\"target_latency_ms\":1000,\"priority\":1,\"service\":\"lm-pool\",\"max_attempts\":1,\"sticky\":true,"
                + "\"resumable\":false,\"target_gap_ms\":300}],\"services\":[{\"name\":\"lm-pool\","
                + "\"health_path\":\"/health\",\"max_connections\":370,\"protocol\":\"h1\",\"tls\":false,\"engine\":{"
                + "\"slots\":64,\"kv_cache_tokens\":130781,\"models\":[{\"name\":\"m0\",\"weights_mb\":65100,"
                + "\"load_s\":1.1,\"adapters\":3000,\"adapter_mb\":12.0}],\"weights_mb\":66700.0,\"adapter_slots\":"
                + PLACES + ",\"loads_per_s\":3.3}}],\"limits\":{\"max_header_bytes\":16384,"
                + "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
    }
}
