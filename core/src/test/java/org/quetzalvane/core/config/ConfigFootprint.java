package org.quetzalvane.core.config;

import java.nio.charset.StandardCharsets;
import java.util.function.IntFunction;

import org.quetzalvane.core.model.AdapterVersion;
import org.quetzalvane.core.time.SystemScheduler;

/**
 * Prints the heap bytes per adapter, version and rule, and the microseconds per applied record and access decision.
 *
 * <p>Run it with a fixed heap size and the serial collector. The only argument is the number of objects of each kind.
 */
public final class ConfigFootprint {
    /** More than the outcomes that the table keeps, so that their memory does not grow during the measurement. */
    private static final int FILLER_RECORDS = 5000;

    private static final int GC_ROUNDS = 3;
    private static final int LOOKUPS = 200_000;

    private final ConfigTable table = new ConfigTable();
    private final SystemScheduler scheduler = new SystemScheduler(1);
    private long nextOffset;

    private ConfigFootprint() {}

    public static void main(String[] args) {
        new ConfigFootprint().run(Integer.parseInt(args[0]));
    }

    private void run(int n) {
        apply(1, i -> "'kind':'base-model','name':'base','value':{}");
        apply(FILLER_RECORDS, i -> "'kind':'base-model','name':'filler" + i + "','value':{}");
        System.out.println(n + " each");
        print("adapter", n, i -> "'kind':'adapter','name':'" + name(i) + "','value':{'baseModel':'base'}");
        print(
                "version",
                n,
                i -> "'kind':'version','name':'" + name(i) + "@1','value':{'adapter':'" + name(i)
                        + "','version':1,'weights':'" + name(i) + "-v1'}");
        print(
                "rule",
                n,
                i -> "'kind':'access-rule','name':'rule-" + i + "','value':{'caller':'branch-" + i % 40
                        + "','target':'adapter:" + name(i) + "'}");
        long start = scheduler.nanoTime();
        int allowed = 0;
        for (int i = 0; i < LOOKUPS; i++) {
            AdapterVersion v = new AdapterVersion(name(i % n), 1);
            String caller = "branch-" + i % n % 40;
            allowed += table.read(s -> s.version(v).isPresent() && s.allowsAdapter(caller, v)) ? 1 : 0;
        }
        double micros = (scheduler.nanoTime() - start) / 1e3 / LOOKUPS;
        System.out.printf("  decision: %.2f us, %d of %d allowed%n", micros, allowed, LOOKUPS);
        scheduler.close();
    }

    private void print(String label, int n, IntFunction<String> record) {
        long before = heap();
        long start = scheduler.nanoTime();
        apply(n, record);
        double micros = (scheduler.nanoTime() - start) / 1e3 / n;
        System.out.printf("  %s: %.0f bytes, %.1f us per record%n", label, (heap() - before) / (double) n, micros);
    }

    private void apply(int n, IntFunction<String> record) {
        for (int i = 0; i < n; i++) {
            String json =
                    "{'schema':2,'id':'footprint-" + nextOffset + "','expectedRevision':0," + record.apply(i) + "}";
            byte[] data = json.replace('\'', '"').getBytes(StandardCharsets.UTF_8);
            if (!table.apply(nextOffset++, data).orElseThrow().accepted()) {
                throw new IllegalStateException(json);
            }
        }
    }

    private static String name(int i) {
        return "adapter-" + i + "-minutes";
    }

    private static long heap() {
        for (int i = 0; i < GC_ROUNDS; i++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}
