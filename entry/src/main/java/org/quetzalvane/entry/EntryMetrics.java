package org.quetzalvane.entry;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.UniformReservoir;
import org.quetzalvane.core.event.EventCode;
import org.quetzalvane.core.limit.AccountUse;

/**
 * Counters, gauges and duration histograms of a node, updated from the events of its structured log and rendered in the
 * text exposition format of Prometheus. Thread-safe.
 */
final class EntryMetrics {
    private static final String PREFIX = "quetzalvane_";
    private static final double[] QUANTILES = {0.5, 0.9, 0.99};
    /** Samples kept per duration field, drawn uniformly over the run of the process; enough for a 99th percentile. */
    private static final int RESERVOIR_SAMPLES = 1_028;

    private final MetricRegistry registry = new MetricRegistry();
    private final AccountLabels accounts = new AccountLabels();
    private Supplier<List<AccountUse>> accountUses = List::of;

    /**
     * Increments the counter of an event and that of its field {@code code}, if there is one. For {@code REQUEST_DONE},
     * adds each field whose name ends in {@code ms} to its histogram and counts the values of boolean fields. Fields
     * alternate names and values. A refusal of an account also counts for the account.
     */
    void update(EventCode code, Object... fields) {
        counter("events_total{event=\"" + code.name().toLowerCase(Locale.ROOT) + "\"}")
                .inc();
        if (code == EventCode.REQUEST_REFUSED) {
            countRefusal(fields);
        }
        for (int i = 0; i + 1 < fields.length; i += 2) {
            String name = String.valueOf(fields[i]);
            if (name.equals("code")) {
                counter("refused_total{code=\"" + fields[i + 1] + "\"}").inc();
            } else if (code == EventCode.REQUEST_DONE && name.endsWith("ms")) {
                durationHistogram(name).update(((Number) fields[i + 1]).longValue());
            } else if (code == EventCode.REQUEST_DONE && fields[i + 1] instanceof Boolean) {
                counter("request_" + name + "_total{value=\"" + fields[i + 1] + "\"}")
                        .inc();
            }
        }
    }

    /** Counts a request whose account is known and has allowance left. */
    void countAdmitted(String account) {
        accountCounter("admitted_total", account, "").inc();
    }

    /** Adds units of an account's allowance that were charged, or given back if negative. */
    void countUnits(String account, long units) {
        accountCounter("units", account, "").inc(units);
    }

    private void countRefusal(Object... fields) {
        Object account = null;
        Object result = null;
        for (int i = 0; i + 1 < fields.length; i += 2) {
            account = "account".equals(fields[i]) ? fields[i + 1] : account;
            result = "code".equals(fields[i]) ? fields[i + 1] : result;
        }
        if (account != null && result != null) {
            accountCounter("refused_total", account.toString(), ",code=\"" + result + "\"")
                    .inc();
        }
    }

    private Counter accountCounter(String name, String account, String moreLabels) {
        return counter("account_" + name + "{account=\"" + accounts.of(account) + "\"" + moreLabels + "}");
    }

    /** Sets the source of the limits of accounts, read at each scrape. */
    void accountUses(Supplier<List<AccountUse>> source) {
        accountUses = source;
    }

    /** Limit, use over all nodes and holder of each account that has a label of its own. */
    private void accountLines(StringBuilder out, AccountUse use) {
        String label = accounts.of(use.account());
        if (label.equals(AccountLabels.OTHER)) {
            return;
        }
        String labels = "{account=\"" + label + "\"";
        line(out, PREFIX + "account_limit_per_second" + labels + "}", Math.round(use.limitPerSecond()));
        line(out, PREFIX + "account_use_per_second" + labels + "}", Math.round(use.allPerSecond()));
        line(out, PREFIX + "account_local_share" + labels + "}", use.localShare() ? 1 : 0);
        line(out, PREFIX + "account_holder" + labels + ",holder=\"" + use.holder() + "\"}", 1);
    }

    /** Registers a gauge that is evaluated at each scrape. */
    void gauge(String name, LongSupplier value) {
        registry.register(PREFIX + name, (Gauge<Long>) value::getAsLong);
    }

    /** All metrics, one per line. */
    String text() {
        StringBuilder out = new StringBuilder();
        registry.getCounters().forEach((name, c) -> line(out, name, c.getCount()));
        registry.getGauges().forEach((name, g) -> line(out, name, ((Number) g.getValue()).longValue()));
        accountUses.get().forEach(use -> accountLines(out, use));
        for (Map.Entry<String, Histogram> h : registry.getHistograms().entrySet()) {
            Snapshot s = h.getValue().getSnapshot();
            for (double q : QUANTILES) {
                line(out, h.getKey() + "{quantile=\"" + q + "\"}", Math.round(s.getValue(q)));
            }
            line(out, h.getKey() + "_count", h.getValue().getCount());
        }
        return out.toString();
    }

    private static void line(StringBuilder out, String name, long value) {
        out.append(name).append(' ').append(value).append('\n');
    }

    private Counter counter(String name) {
        return registry.counter(PREFIX + name);
    }

    private Histogram durationHistogram(String name) {
        return registry.histogram(
                PREFIX + "request_" + name, () -> new Histogram(new UniformReservoir(RESERVOIR_SAMPLES)));
    }
}
