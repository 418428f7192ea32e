import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Stand-in of the platform's store: keyed topics with long reads, and one group that deals 24 partitions evenly to its
 * members. Always sound.
 */
final class Store implements AutoCloseable {
    private static final int PARTS = 24;

    private final HttpServer http;
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final Map<String, List<byte[][]>> topics = new HashMap<>();
    private final Map<String, Long> members = new LinkedHashMap<>();
    private long generation = 1;

    Store(String ip) throws IOException {
        http = HttpServer.create(new InetSocketAddress(ip, 0), 100);
        http.setExecutor(threads);
        http.createContext("/", this::serve);
        http.start();
    }

    String address() {
        return http.getAddress().getAddress().getHostAddress() + ":" + http.getAddress().getPort();
    }

    /** Writes a record as the operator or a server does; an empty value removes the key. */
    synchronized void put(String topic, String key, String value) {
        topic(topic)
                .add(new byte[][] {key.getBytes(StandardCharsets.UTF_8), value.getBytes(StandardCharsets.UTF_8)});
        notifyAll();
    }

    void config(String json) {
        put("keyed.op", "config", json);
    }

    void server(String id, String json) {
        put("keyed.servers", id, json);
    }

    @Override
    public void close() {
        http.stop(0);
        threads.shutdownNow();
    }

    private synchronized List<byte[][]> topic(String name) {
        return topics.computeIfAbsent(name, n -> new ArrayList<>());
    }

    private void serve(HttpExchange x) throws IOException {
        try (x) {
            byte[] body = x.getRequestBody().readAllBytes();
            Map<String, String> q = new HashMap<>();
            String raw = x.getRequestURI().getRawQuery();
            if (raw != null) {
                for (String pair : raw.split("&")) {
                    String[] kv = pair.split("=", 2);
                    q.put(kv[0], URLDecoder.decode(kv.length > 1 ? kv[1] : "", StandardCharsets.UTF_8));
                }
            }
            switch (x.getRequestURI().getPath()) {
                case "/log-newest" -> reply(x, 200, newest(q.get("topic")));
                case "/log-read" -> read(x, q);
                case "/log-append" -> reply(x, 200, append(q.get("topic"), body));
                case "/log-join" -> reply(x, 200, join(new String(body, StandardCharsets.UTF_8)));
                case "/log-leave" -> reply(x, 200, leave(new String(body, StandardCharsets.UTF_8)));
                case "/log-owners" -> reply(x, 200, owners());
                default -> reply(x, 404, new byte[0]);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized byte[] newest(String name) {
        Map<String, Integer> last = new LinkedHashMap<>();
        List<byte[][]> all = topic(name);
        for (int i = 0; i < all.size(); i++) {
            last.put(new String(all.get(i)[0], StandardCharsets.UTF_8), i);
        }
        StringBuilder items = new StringBuilder();
        last.forEach((k, i) -> {
            if (all.get(i)[1].length > 0) {
                items.append(items.length() == 0 ? "" : ",")
                        .append("{\"key\":\"")
                        .append(k)
                        .append("\",\"value\":\"")
                        .append(Base64.getEncoder().encodeToString(all.get(i)[1]))
                        .append("\",\"offset\":")
                        .append(i)
                        .append('}');
            }
        });
        return ("{\"items\":[" + items + "],\"has_more\":false,\"end_offset\":" + all.size() + "}")
                .getBytes(StandardCharsets.UTF_8);
    }

    private void read(HttpExchange x, Map<String, String> q) throws IOException, InterruptedException {
        int from = Integer.parseInt(q.get("source"));
        long until = System.nanoTime() + Long.parseLong(q.getOrDefault("wait_ms", "0")) * 1_000_000;
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        synchronized (this) {
            List<byte[][]> all = topic(q.get("topic"));
            if (from > all.size()) {
                reply(x, 410, "{\"first_offset\":0}".getBytes(StandardCharsets.UTF_8));
                return;
            }
            while (all.size() <= from) {
                long left = (until - System.nanoTime()) / 1_000_000;
                if (left <= 0) {
                    break;
                }
                wait(left);
            }
            DataOutputStream out = new DataOutputStream(bytes);
            out.writeLong(all.size());
            out.writeLong(0);
            for (byte[][] r : all.subList(from, all.size())) {
                out.writeInt(1 + r[0].length + r[1].length);
                out.writeByte(r[0].length);
                out.write(r[0]);
                out.write(r[1]);
            }
        }
        reply(x, 200, bytes.toByteArray());
    }

    private synchronized byte[] append(String name, byte[] body) {
        List<byte[][]> all = topic(name);
        int offset = all.size();
        ByteBuffer b = ByteBuffer.wrap(body);
        while (b.hasRemaining()) {
            int length = b.getInt();
            byte[] key = new byte[b.get() & 0xff];
            b.get(key);
            byte[] value = new byte[length - 1 - key.length];
            b.get(value);
            all.add(new byte[][] {key, value});
        }
        notifyAll();
        return ("{\"offset\":" + offset + ",\"end_offset\":" + all.size() + "}").getBytes(StandardCharsets.UTF_8);
    }

    private synchronized byte[] join(String body) {
        String member = field(body, "member");
        long now = System.nanoTime();
        boolean changed = members.values().removeIf(end -> end - now < 0);
        changed |= members.put(member, now + Long.parseLong(field(body, "ttl_ms")) * 1_000_000) == null;
        generation += changed ? 1 : 0;
        List<String> all = List.copyOf(members.keySet());
        StringBuilder parts = new StringBuilder();
        for (int p = 0; p < PARTS; p++) {
            if (all.get(p % all.size()).equals(member)) {
                parts.append(parts.length() == 0 ? "" : ",").append("[\"engines\",").append(p).append(",0]");
            }
        }
        return ("{\"generation\":" + generation + ",\"ttl_ms\":3000,\"parts\":[" + parts + "]}")
                .getBytes(StandardCharsets.UTF_8);
    }

    private synchronized byte[] leave(String body) {
        generation += members.remove(field(body, "member")) == null ? 0 : 1;
        return new byte[0];
    }

    private synchronized byte[] owners() {
        List<String> all = List.copyOf(members.keySet());
        StringBuilder rows = new StringBuilder();
        for (int p = 0; p < PARTS && !all.isEmpty(); p++) {
            rows.append(rows.length() == 0 ? "" : ",")
                    .append("[\"engines\"," + p + ",\"" + all.get(p % all.size()) + "\",0]");
        }
        return ("{\"owners\":[" + rows + "]}").getBytes(StandardCharsets.UTF_8);
    }

    /** Value of a field of a flat JSON object. */
    static String field(String json, String name) {
        Matcher m = Pattern.compile("\"" + name + "\"\\s*:\\s*\"?([^\",}]*)").matcher(json);
        return m.find() ? m.group(1) : "";
    }

    private static void reply(HttpExchange x, int status, byte[] body) throws IOException {
        x.getResponseHeaders().set("Content-Type", "application/json");
        x.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
        x.getResponseBody().write(body);
    }
}
