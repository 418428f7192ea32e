import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/**
 * Stand-in of a model replica with one base model, as the pages describe it: adapter slots, orders with `expect` and
 * fences, loads of 250 ms, unloads that wait for their runs, streams of events. It drops a run when its connection
 * closes, and crashes if it is ordered to load more adapters than it has places for.
 */
final class Engine implements AutoCloseable {
    static final String MODEL = "m0";
    private static final int LOAD_MS = 250;

    final String id;
    private final int slots;
    private final int adapterSlots;
    private final int gapMs;
    private final Consumer<String> record;
    private final ServerSocket server;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final long born = System.currentTimeMillis();
    private final Set<String> held = new LinkedHashSet<>();
    private final Set<String> pending = new LinkedHashSet<>();
    private final Set<String> unloading = new LinkedHashSet<>();
    private final Map<String, Integer> running = new HashMap<>();
    private int sequence;
    private long fence = -1;
    private int entries;
    private boolean crashed;
    private Spoiler spoiler = (attempt, from) -> null;
    private volatile String lastHolder;

    /** Decides which answers are broken off. */
    interface Spoiler {
        /**
         * Piece inside which an answer without length and chunks ends; 0 if it ends before its first piece; null for a
         * sound answer.
         *
         * @param from first piece of the answer, above 1 if it goes on with a stream
         */
        Integer endsInside(String attempt, int from);
    }

    Engine(String id, String ip, int slots, int adapterSlots, int gapMs, Consumer<String> record) throws IOException {
        this.id = id;
        this.slots = slots;
        this.adapterSlots = adapterSlots;
        this.gapMs = gapMs;
        this.record = record;
        this.server = Servers.listen(ip, 0, this::serve);
    }

    void spoiler(Spoiler s) {
        spoiler = s;
    }

    /** Loads adapters before the first request. */
    synchronized void hold(String... adapters) {
        held.addAll(List.of(adapters));
    }

    /** Address of its socket, IP:PORT. */
    String address() {
        return Servers.address(server);
    }

    synchronized boolean crashed() {
        return crashed;
    }

    /** The holder named in the last order, or null. */
    String lastHolder() {
        return lastHolder;
    }

    synchronized int running() {
        return running.values().stream().mapToInt(Integer::intValue).sum();
    }

    /** Its entry in the platform's store. */
    synchronized String entry(String service) {
        entries++;
        return "{\"service\":\"" + service + "\",\"address\":\"" + Servers.address(server)
                + "\",\"zone\":\"qs-a\",\"version\":\"v1\",\"slots\":" + slots
                + ",\"state\":\"ready\",\"cold_remaining_ms\":0,\"stage\":\"combined\",\"models\":" + models()
                + ",\"born\":" + born + ",\"sequence\":" + entries + "}";
    }

    private String models() {
        Set<String> listed = new LinkedHashSet<>(held);
        listed.addAll(unloading);
        String adapters = listed.stream().map(a -> "\"" + a + "@1\"").collect(Collectors.joining(","));
        return "[{\"name\":\"" + MODEL + "\",\"version\":1,\"adapters\":[" + adapters + "]}]";
    }

    private void serve(Socket socket, InputStream in, OutputStream out) throws Exception {
        sockets.add(socket);
        try {
            for (Wire.Message m = Wire.read(in, false); m != null && !crashed(); m = Wire.read(in, false)) {
                if (!id.equals(m.header("X-Expected-Instance"))) {
                    Servers.write(out, "HTTP/1.1 421 X\r\nX-Instance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
                } else if (m.path().equals("/report")) {
                    json(out, 200, report());
                } else if (m.path().equals("/order")) {
                    int status = order(m.text());
                    if (status == 0) {
                        crash();
                        return;
                    }
                    json(out, status, "{}");
                } else {
                    run(m, socket, out);
                }
            }
        } finally {
            sockets.remove(socket);
        }
    }

    private synchronized String report() {
        String coming = pending.stream().map(a -> "\"" + MODEL + "/" + a + "@1\"").collect(Collectors.joining(","));
        return "{\"stage\":\"combined\",\"models\":" + models() + ",\"busy\":false,\"sequence\":" + sequence
                + ",\"queued\":0,\"active\":" + running() + ",\"kv_cache_used\":0,\"kv_cache_total\":130781,"
                + "\"handles\":0,\"pending\":[" + coming + "],\"born\":" + born + "}";
    }

    /** Carries out an order; returns the status, or 0 if it makes the replica crash. */
    private synchronized int order(String body) {
        String adapter = Store.field(body, "adapter");
        String operation = Store.field(body, "operation");
        long token = Long.parseLong(Store.field(body, "fencing_token"));
        String expect = Store.field(body, "expect");
        lastHolder = Store.field(body, "holder");
        String what = operation + " " + adapter + " holder " + lastHolder + " token " + token;
        if (token < fence) {
            record.accept("order " + what + " -> 412");
            return 412;
        }
        fence = token;
        if (!expect.isEmpty() && Integer.parseInt(expect) != sequence) {
            record.accept("order " + what + " expect " + expect + " -> 409, sequence " + sequence);
            return 409;
        }
        if (operation.equals("loading")) {
            if (adapter.isEmpty() || held.contains(adapter) || pending.contains(adapter)) {
                return 200;
            }
            Set<String> places = new LinkedHashSet<>(held);
            places.addAll(pending);
            places.addAll(unloading);
            if (places.size() >= adapterSlots) {
                record.accept("order " + what + " -> CRASH: " + places.size() + " of " + adapterSlots
                        + " places taken, unloading while their runs go on: " + unloading + ", running: " + running);
                return 0;
            }
            sequence++;
            pending.add(adapter);
            later(LOAD_MS, () -> loaded(adapter));
            record.accept("order " + what + " -> 202, places taken " + (places.size() + 1));
            return 202;
        }
        sequence++;
        boolean inUse = running.getOrDefault(adapter, 0) > 0;
        held.remove(adapter);
        if (inUse) {
            unloading.add(adapter);
        }
        record.accept("order " + what + " -> " + (inUse ? "202, waits for its run" : "200"));
        return inUse ? 202 : 200;
    }

    private synchronized void loaded(String adapter) {
        pending.remove(adapter);
        held.add(adapter);
    }

    private static void later(long ms, Runnable task) {
        Servers.daemon(() -> {
            try {
                Thread.sleep(ms);
                task.run();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
    }

    private void run(Wire.Message m, Socket socket, OutputStream out) throws Exception {
        String attempt = m.header("X-Attempt-Id");
        String adapter = m.header("X-Model").substring(MODEL.length() + 1);
        synchronized (this) {
            if (running() >= slots) {
                Servers.write(
                        out,
                        "HTTP/1.1 503 X\r\nX-Attempt-Id: " + attempt
                                + "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
                record.accept("request " + attempt + " at " + id + " -> 503, full");
                return;
            }
            if (!held.contains(adapter)) {
                Servers.write(
                        out,
                        "HTTP/1.1 421 X\r\nX-Attempt-Id: " + attempt
                                + "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
                record.accept("request " + attempt + " " + adapter + " -> 421");
                return;
            }
            running.merge(adapter, 1, Integer::sum);
            record.accept("request " + attempt + " " + adapter + " begins at " + id);
        }
        // 3 tokens an event.
        int events = Integer.parseInt(m.header("X-Token-Usage").split(",")[1]) / 3;
        String end = "complete";
        String last = m.header("Last-Event-Id");
        int from = last == null ? 1 : Integer.parseInt(last) + 1;
        Integer endsInside = spoiler.endsInside(attempt, from);
        try {
            Servers.write(
                    out,
                    "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt + "\r\nX-Response-Signature: sig." + attempt
                            + "\r\nX-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n"
                            + (endsInside == null ? "Transfer-Encoding: chunked\r\n\r\n" : "\r\n"));
            if (endsInside != null) {
                end = breakOff(out, from, endsInside);
                socket.close();
                return;
            }
            for (int i = from; i <= events; i++) {
                String event = event(i, events);
                Servers.write(out, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
                Thread.sleep(gapMs);
            }
            Servers.write(out, "0\r\n\r\n");
        } catch (IOException e) {
            end = crashed() ? "broken off by the crash" : "dropped, its connection is closed";
            throw e;
        } finally {
            synchronized (this) {
                running.computeIfPresent(adapter, (a, n) -> n == 1 ? null : n - 1);
                if (!running.containsKey(adapter)) {
                    unloading.remove(adapter);
                }
            }
            record.accept("request " + attempt + " " + adapter + " ends: " + end);
        }
    }

    private static String event(int i, int events) {
        return "id: " + i + "\ndata: piece " + i + " of " + events + "\n\n";
    }

    private String breakOff(OutputStream out, int from, int endsInside) throws IOException, InterruptedException {
        if (endsInside == 0) {
            Thread.sleep(gapMs);
            return "ended before its first piece, " + from;
        }
        for (int i = from; i < endsInside; i++) {
            Servers.write(out, event(i, endsInside));
            Thread.sleep(gapMs);
        }
        Servers.write(out, "id: " + endsInside + "\ndata: pie");
        Thread.sleep(gapMs);
        return "ended inside piece " + endsInside;
    }

    /** Ends at once, with all connections. */
    void crash() throws IOException {
        List<Socket> open;
        synchronized (this) {
            crashed = true;
            open = new ArrayList<>(sockets);
        }
        server.close();
        for (Socket s : open) {
            s.setSoLinger(true, 0);
            s.close();
        }
    }

    private static void json(OutputStream out, int status, String body) throws IOException {
        Servers.write(
                out,
                "HTTP/1.1 " + status + " X\r\nContent-Type: application/json\r\nContent-Length: " + body.length()
                        + "\r\n\r\n" + body);
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
