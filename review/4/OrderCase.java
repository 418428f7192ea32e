import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Replicas break off one answer in twenty; these answers have no length. A stream that was broken off inside an event goes
 * on at another replica, whose answer ends before its first event. The node ends the stream as complete.
 */
public final class OrderCase {
    private static final int EVENTS = 23;
    private static final int REQUESTS = 400;
    private static final Pattern ID = Pattern.compile("(?m)^id: (\\d+)$");

    private static Record record;
    private static int broken;
    private static int complete;
    private static int other;

    private OrderCase() {}

    public static void main(String[] args) throws Exception {
        Path temporary = Record.temporary();
        record = new Record(Path.of(args[0]));
        int exit = 2;
        String ip = Node.freeIp();
        Store store = new Store(ip);
        List<Engine> engines = new ArrayList<>();
        Node node = new Node("frontend-qs-a-1", store.address(), temporary, List.of());
        try {
            store.config(config());
            for (int i = 0; i < 4; i++) {
                Engine e = new Engine("i-7f3a91c" + i, ip, 64, 21, 36, record::line);
                e.hold("a1", "a2", "a3", "a4", "a5", "a6");
                if (Record.trouble()) {
                    e.spoiler(OrderCase::endsInside);
                }
                engines.add(e);
                store.server(e.id, e.entry("lm-pool"));
            }
            node.start();
            node.awaitReady();
            Servers.daemon(() -> beat(store, engines));
            Thread.sleep(3_000);
            exit = play(node);
        } catch (Exception e) {
            record.line("could not run: " + e);
        } finally {
            node.close();
            store.close();
            record.line("exit " + exit);
            record.close();
        }
        System.exit(exit);
    }

    /** 15 of 400 streams end inside their tenth piece; five of those that go on end before their first piece. */
    private static Integer endsInside(String attempt, int from) {
        int n = Integer.parseInt(attempt.substring(1));
        if (n % 27 != 13) {
            return null;
        }
        if (from == 1) {
            return 10;
        }
        return n % 81 == 13 ? 0 : null;
    }

    private static int play(Node node) throws Exception {
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            clients.add(request("c" + i, node, "a" + (1 + i % 6)));
            Thread.sleep(50);
        }
        for (Thread t : clients) {
            t.join(10_000);
        }
        record.line("streams whole " + complete + ", complete for the client although pieces are missing " + broken
                + ", other answers " + other);
        if (broken > 0) {
            record.line("ORDER broken");
            return 1;
        }
        return complete > REQUESTS / 2 ? 0 : 2;
    }

    private static void beat(Store store, List<Engine> engines) {
        try {
            while (true) {
                Thread.sleep(1_200);
                for (Engine e : engines) {
                    store.server(e.id, e.entry("lm-pool"));
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static Thread request(String id, Node node, String adapter) {
        Thread t = new Thread(() -> {
            try (Socket s = new Socket(node.ip, 8149)) {
                Servers.write(
                        s.getOutputStream(),
                        "POST /lohu930/x HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: " + id + "\r\nX-Model: "
                                + Engine.MODEL + "/" + adapter + "\r\nX-Token-Usage: 646," + 3 * EVENTS
                                + "\r\nX-Prompt-Prefix: 5c1e07a2:93,91bd3f06:62,e4402b7d:491"
                                + "\r\nX-Deadline-Ms: 8000\r\nContent-Length: 2\r\n\r\nhi");
                judge(id, Wire.read(new BufferedInputStream(s.getInputStream()), true));
            } catch (IOException e) {
                record.line("client got " + id + ": " + e);
            }
        });
        t.setDaemon(true);
        t.start();
        return t;
    }

    /** The pieces are numbered from 1, each comes once; a stream that ends as complete has all of them. */
    private static synchronized void judge(String id, Wire.Message m) {
        if (m == null || m.status() != 200) {
            other++;
            record.line("client got " + id + ": " + (m == null ? "closed" : m.status()));
            return;
        }
        List<Integer> ids = new ArrayList<>();
        Matcher found = ID.matcher(m.text());
        boolean sound = true;
        while (found.find()) {
            ids.add(Integer.parseInt(found.group(1)));
            sound &= ids.get(ids.size() - 1) == ids.size();
        }
        sound &= !m.complete() || ids.size() == EVENTS;
        String end = m.complete() ? "complete" : "broken off";
        if (!sound) {
            broken++;
            record.line("client got " + id + ": 200, " + end + ", with pieces " + ids + " of " + EVENTS);
        } else if (m.complete()) {
            complete++;
            record.line("client got " + id + ": 200, " + end);
        } else {
            other++;
            record.line("client got " + id + ": 200, " + end + " after piece " + ids.size());
        }
    }

    private static String config() {
        return "{\"version\":7,\"routes\":[{\"name\":\"hut-brief\",\"host\":\"ficu95.example\","
                + "\"path_prefix\":\"/lohu930/\",\"kind\":\"streaming\",\"timeout_ms\":8000,"
                + "\"target_latency_ms\":600,\"priority\":0,\"service\":\"lm-pool\",\"max_attempts\":2,\"sticky\":true,"
                + "\"resumable\":true,\"target_gap_ms\":300}],\"services\":[{\"name\":\"lm-pool\","
                + "\"health_path\":\"/health\",\"max_connections\":370,\"protocol\":\"h1\",\"tls\":false,\"engine\":{"
                + "\"slots\":64,\"kv_cache_tokens\":130781,\"models\":[{\"name\":\"m0\",\"weights_mb\":65100,"
                + "\"load_s\":1.1,\"adapters\":3000,\"adapter_mb\":12.0}],\"weights_mb\":66700.0,\"adapter_slots\":21,"
                + "\"loads_per_s\":3.3}}],\"limits\":{\"max_header_bytes\":16384,"
                + "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
    }
}
