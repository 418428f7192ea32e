package org.quetzalvane.standins.replay;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import org.quetzalvane.core.time.Scheduler;

/**
 * Fake weight store that counts its loads. Not thread-safe.
 *
 * <p>A load takes {@code loadMillis} × ceil(n / {@code maxInFlight}) × the slow factor, where n is the number of loads
 * in flight at its start, itself included. The rate limit of the store is not enforced; loads are only counted.
 */
final class FakeStore {
    private final Scheduler scheduler;
    private final TraceHeader header;
    private final List<Long> startMillis = new ArrayList<>();
    private final List<Runnable> blockedLoads = new ArrayList<>();
    private int inFlight;
    private int maxInFlight;
    private long slowFactor = 1;
    private long remainingFailures;
    private boolean down;

    FakeStore(Scheduler scheduler, TraceHeader header) {
        this.scheduler = scheduler;
        this.header = header;
    }

    void setSlowFactor(long factor) {
        slowFactor = factor;
    }

    void failNext(long loads) {
        remainingFailures = loads;
    }

    void setDown(boolean isDown) {
        down = isDown;
        if (!down) {
            List<Runnable> unblocked = new ArrayList<>(blockedLoads);
            blockedLoads.clear();
            unblocked.forEach(Runnable::run);
        }
    }

    /** Starts a load and reports at its end whether it succeeded; while the store is down, no load ends. */
    void load(Consumer<Boolean> done) {
        startMillis.add(scheduler.nanoTime() / 1_000_000);
        inFlight++;
        maxInFlight = Math.max(maxInFlight, inFlight);
        long slowdown = Math.max(1, (inFlight + header.maxInFlight() - 1) / header.maxInFlight());
        long millis = header.loadMillis() * slowdown * slowFactor;
        scheduler.schedule(Duration.ofMillis(millis), () -> finishLoad(done));
    }

    private void finishLoad(Consumer<Boolean> done) {
        if (down) {
            blockedLoads.add(() -> finishLoad(done));
            return;
        }
        inFlight--;
        boolean fails = remainingFailures > 0;
        remainingFailures -= fails ? 1 : 0;
        done.accept(!fails);
    }

    int loads() {
        return startMillis.size();
    }

    int maxInFlight() {
        return maxInFlight;
    }

    /** Returns the maximum number of loads started in any window of the given length in milliseconds. */
    int maxStartsInWindow(long windowMillis) {
        int most = 0;
        int first = 0;
        for (int i = 0; i < startMillis.size(); i++) {
            while (startMillis.get(i) - startMillis.get(first) >= windowMillis) {
                first++;
            }
            most = Math.max(most, i - first + 1);
        }
        return most;
    }
}
