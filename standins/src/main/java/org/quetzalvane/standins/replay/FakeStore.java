package org.quetzalvane.standins.replay;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import org.quetzalvane.core.time.Scheduler;

/**
 * The weight store: loads slow down in proportion beyond the full-speed limit. It counts what it was asked.
 *
 * <p>Used by the replaying thread only.
 */
final class FakeStore {
    private final Scheduler time;
    private final TraceHeader sizes;
    private final List<Long> startMillis = new ArrayList<>();
    private final List<Runnable> stuck = new ArrayList<>();
    private int inFlight;
    private int maxInFlight;
    private long slowFactor = 1;
    private long failures;
    private boolean down;

    FakeStore(Scheduler time, TraceHeader sizes) {
        this.time = time;
        this.sizes = sizes;
    }

    void slow(long factor) {
        slowFactor = factor;
    }

    void failNext(long loads) {
        failures = loads;
    }

    void down(boolean isDown) {
        down = isDown;
        if (!down) {
            List<Runnable> due = new ArrayList<>(stuck);
            stuck.clear();
            due.forEach(Runnable::run);
        }
    }

    /** Loads weights and tells whether it succeeded. */
    void load(Consumer<Boolean> done) {
        startMillis.add(time.nanoTime() / 1_000_000);
        inFlight++;
        maxInFlight = Math.max(maxInFlight, inFlight);
        long crowd = Math.max(1, (inFlight + sizes.maxInFlight() - 1) / sizes.maxInFlight());
        long millis = sizes.loadMillis() * crowd * slowFactor;
        time.schedule(Duration.ofMillis(millis), () -> end(done));
    }

    private void end(Consumer<Boolean> done) {
        if (down) {
            stuck.add(() -> end(done));
            return;
        }
        inFlight--;
        boolean fails = failures > 0;
        failures -= fails ? 1 : 0;
        done.accept(!fails);
    }

    int loads() {
        return startMillis.size();
    }

    int maxInFlight() {
        return maxInFlight;
    }

    /** The most loads that started in any window of a length, in milliseconds. */
    int maxStarted(long windowMillis) {
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
