package org.quetzalvane.cli;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletionException;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.quetzalvane.adapters.http.BufferingHttpClient;
import org.quetzalvane.adapters.http.Json;

/**
 * Shows for each client account how many requests were admitted and refused and what it used, summed over the metrics
 * pages of nodes, and its limit, its use per second over all nodes and the node that holds its budget. Fails when a
 * node is unreachable. Not thread-safe.
 */
@Parameters(commandDescription = "Show what client accounts used and why they were refused, summed over entry nodes")
final class AccountsCommand extends CommonOptions {
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(3);
    /** A line of the metrics page: metric, account, result code of a refusal, address of a holder, value. */
    private static final Pattern LINE =
            Pattern.compile("quetzalvane_account_(\\w+)\\{account=\"((?:[^\"\\\\]|\\\\.)*)\""
                    + "(?:,code=\"(\\d+)\")?(?:,holder=\"([^\"]*)\")?\\} (-?\\d+)");

    @Parameter(description = "HOST:PORT... of the metrics pages", required = true)
    private List<String> nodes = new ArrayList<>();

    private final Map<String, Totals> totalsByAccount = new TreeMap<>();

    /** Sums over the nodes that were read. */
    private static final class Totals {
        private long admitted;
        private long units;
        private long limit;
        private long use;
        private String holder = "";
        private final Map<String, Long> refusedByCode = new TreeMap<>();

        private void add(String metric, String code, long value) {
            if (metric.equals("admitted_total")) {
                admitted += value;
            } else if (metric.equals("units")) {
                units += value;
            } else if (metric.equals("refused_total")) {
                refusedByCode.merge(code, value, Long::sum);
            } else if (metric.equals("limit_per_second")) {
                limit = Math.max(limit, value);
            } else if (metric.equals("use_per_second")) {
                use = Math.max(use, value);
            }
        }
    }

    @Override
    public int run() throws Exception {
        boolean complete = true;
        try (BufferingHttpClient client = BufferingHttpClient.start()) {
            for (String node : nodes) {
                complete &= read(client, node);
            }
        }
        totalsByAccount.forEach(this::print);
        return complete ? 0 : 1;
    }

    private boolean read(BufferingHttpClient client, String node) {
        try {
            BufferingHttpClient.Response r =
                    client.get("http://" + node + "/", REQUEST_TIMEOUT).join();
            if (r.isOk()) {
                new String(r.body(), StandardCharsets.UTF_8).lines().forEach(this::add);
                return true;
            }
        } catch (CompletionException e) {
            // Reported below like a response without metrics.
        }
        System.err.println(node + " unreachable; its figures are missing");
        return false;
    }

    private void add(String line) {
        Matcher m = LINE.matcher(line);
        if (!m.matches()) {
            return;
        }
        String account = m.group(2).replaceAll("\\\\(.)", "$1");
        Totals t = totalsByAccount.computeIfAbsent(account, a -> new Totals());
        t.add(m.group(1), m.group(3), Long.parseLong(m.group(5)));
        if (m.group(4) != null && !m.group(4).isEmpty()) {
            t.holder = m.group(4);
        }
    }

    private void print(String account, Totals t) {
        if (json()) {
            ObjectNode n = Json.object()
                    .put("account", account)
                    .put("admitted", t.admitted)
                    .put("units", t.units)
                    .put("limitPerSecond", t.limit)
                    .put("usePerSecond", t.use)
                    .put("holder", t.holder);
            ObjectNode refused = n.putObject("refused");
            t.refusedByCode.forEach(refused::put);
            System.out.println(Json.text(n));
            return;
        }
        StringBuilder line = new StringBuilder(account + " admitted=" + t.admitted + " units=" + t.units);
        if (t.limit > 0) {
            line.append(" limit_per_s=").append(t.limit).append(" use_per_s=").append(t.use);
            line.append(" holder=").append(t.holder);
        }
        t.refusedByCode.forEach((code, count) ->
                line.append(" refused_").append(code).append('=').append(count));
        System.out.println(line);
    }
}
