package org.quetzalvane.core.choice;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.IntSupplier;

import org.quetzalvane.core.routes.AdapterRef;
import org.quetzalvane.core.time.ManualScheduler;

/**
 * Fake of an engine and of the owner that orders its loads: prompts are read one after the other, at most as many
 * requests run as there are request slots, and the least recently used idle adapter is evicted for a load.
 */
final class ReplayEngine {
    private static final long LOAD_MS = 288;
    private static final long MEMORY_LOAD_MS = 29;
    private static final int MAX_CONCURRENT_LOADS = 2;
    private static final int MAX_WAITING_ADAPTERS = 4;
    private static final long MIN_EVICTION_IDLE_MS = 450;

    private final ManualScheduler clock;
    private final LoadReplay.Deployment deployment;
    private final double tokensPerMs;
    private final IntSupplier storeLoads;
    private final Map<AdapterRef, Long> residentUsedMs = new HashMap<>();
    private final Map<AdapterRef, Integer> inUse = new HashMap<>();
    private final Set<AdapterRef> loading = new HashSet<>();
    private final Set<AdapterRef> inMemory = new HashSet<>();
    private final Map<AdapterRef, List<Waiter>> waiting = new LinkedHashMap<>();
    private final Deque<Runnable> slotQueue = new ArrayDeque<>();
    private int running;
    private boolean pollScheduled;
    private long prefillEndNanos;
    private long orders;
    private int loadsFromStore;
    private int storeLoadsInFlight;
    private int served;

    private record Waiter(long expiresMs, boolean copy, Consumer<Boolean> done) {}

    ReplayEngine(ManualScheduler clock, LoadReplay.Deployment deployment, double tokensPerMs, IntSupplier storeLoads) {
        this.clock = clock;
        this.deployment = deployment;
        this.tokensPerMs = tokensPerMs;
        this.storeLoads = storeLoads;
    }

    long orders() {
        return orders;
    }

    int loadsFromStore() {
        return loadsFromStore;
    }

    int storeLoadsInFlight() {
        return storeLoadsInFlight;
    }

    int served() {
        return served;
    }

    void resetCounts() {
        loadsFromStore = 0;
        served = 0;
    }

    /** Resident adapters with version 1. */
    Map<String, Integer> resident() {
        Map<String, Integer> held = new HashMap<>();
        residentUsedMs.keySet().forEach(r -> held.put(r.adapter(), 1));
        return held;
    }

    boolean isResident(AdapterRef ref) {
        return residentUsedMs.containsKey(ref);
    }

    /** Asks the owner for an adapter; {@code done} is called with whether it is resident. */
    void requestAdapter(AdapterRef ref, long waitMs, boolean copy, Consumer<Boolean> done) {
        if (residentUsedMs.containsKey(ref)) {
            residentUsedMs.put(ref, nowMs());
            done.accept(true);
            return;
        }
        waiting.computeIfAbsent(ref, r -> new ArrayList<>()).add(new Waiter(nowMs() + waitMs, copy, done));
        if (waiting.size() > MAX_WAITING_ADAPTERS) {
            refuse(leastUrgent());
        }
        clock.schedule(Duration.ofMillis(waitMs), this::advance);
        advance();
    }

    private AdapterRef leastUrgent() {
        AdapterRef last = null;
        for (Map.Entry<AdapterRef, List<Waiter>> e : waiting.entrySet()) {
            if (e.getValue().stream().allMatch(Waiter::copy)) {
                return e.getKey();
            }
            last = e.getKey();
        }
        return last;
    }

    private void refuse(AdapterRef ref) {
        waiting.remove(ref).forEach(w -> w.done().accept(false));
    }

    private void advance() {
        List<Waiter> expired = new ArrayList<>();
        waiting.values().forEach(l -> l.removeIf(w -> w.expiresMs() <= nowMs() && expired.add(w)));
        waiting.values().removeIf(List::isEmpty);
        expired.forEach(w -> w.done().accept(false));
        for (AdapterRef ref : List.copyOf(waiting.keySet())) {
            if (!loading.contains(ref) && loading.size() < MAX_CONCURRENT_LOADS && makeRoom()) {
                load(ref);
            }
        }
        if (!waiting.isEmpty() && !pollScheduled) {
            pollScheduled = true;
            clock.schedule(Duration.ofMillis(60), () -> {
                pollScheduled = false;
                advance();
            });
        }
    }

    private boolean makeRoom() {
        if (residentUsedMs.size() + loading.size() < deployment.adapterSlots()) {
            return true;
        }
        AdapterRef victim = null;
        for (Map.Entry<AdapterRef, Long> e : residentUsedMs.entrySet()) {
            boolean evictable = !inUse.containsKey(e.getKey()) && nowMs() - e.getValue() >= MIN_EVICTION_IDLE_MS;
            if (evictable && (victim == null || e.getValue() < residentUsedMs.get(victim))) {
                victim = e.getKey();
            }
        }
        if (victim == null) {
            return false;
        }
        residentUsedMs.remove(victim);
        orders++;
        return true;
    }

    private void load(AdapterRef ref) {
        loading.add(ref);
        orders++;
        boolean fromStore = inMemory.add(ref);
        double ms = MEMORY_LOAD_MS;
        if (fromStore) {
            loadsFromStore++;
            storeLoadsInFlight++;
            ms = LOAD_MS * Math.max(1.0, (double) storeLoads.getAsInt() / deployment.fullSpeedLoads());
        }
        clock.schedule(Duration.ofMillis(Math.round(ms)), () -> {
            storeLoadsInFlight -= fromStore ? 1 : 0;
            loading.remove(ref);
            residentUsedMs.put(ref, nowMs());
            List<Waiter> waiters = waiting.remove(ref);
            if (waiters != null) {
                waiters.forEach(w -> w.done().accept(true));
            }
            advance();
        });
    }

    /** Runs a request; false if its adapter is not resident. */
    boolean run(AdapterRef ref, long tokens, Runnable firstToken, Runnable end) {
        if (!residentUsedMs.containsKey(ref)) {
            return false;
        }
        served++;
        inUse.merge(ref, 1, Integer::sum);
        Runnable start = () -> prefill(ref, tokens, firstToken, end);
        if (running < deployment.requestSlots()) {
            running++;
            start.run();
        } else {
            slotQueue.add(start);
        }
        return true;
    }

    private void prefill(AdapterRef ref, long tokens, Runnable firstToken, Runnable end) {
        prefillEndNanos = Math.max(prefillEndNanos, clock.nanoTime()) + Math.round(tokens / tokensPerMs * 1e6);
        clock.schedule(Duration.ofNanos(prefillEndNanos - clock.nanoTime()), () -> {
            firstToken.run();
            clock.schedule(Duration.ofMillis(deployment.decodeMs()), () -> {
                inUse.computeIfPresent(ref, (r, n) -> n == 1 ? null : n - 1);
                residentUsedMs.put(ref, nowMs());
                end.run();
                Runnable next = slotQueue.poll();
                if (next == null) {
                    running--;
                } else {
                    next.run();
                }
            });
        });
    }

    private long nowMs() {
        return clock.nanoTime() / 1_000_000;
    }
}
