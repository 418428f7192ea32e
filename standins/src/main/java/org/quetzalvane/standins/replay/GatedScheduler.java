package org.quetzalvane.standins.replay;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.quetzalvane.core.time.ManualScheduler;
import org.quetzalvane.core.time.Scheduler;

/**
 * The scheduler of one node in a replay: while the node is frozen its tasks wait, after it was killed they are dropped.
 *
 * <p>Time goes on while frozen, as it does for a stopped process. Used by the replaying thread only.
 */
final class GatedScheduler implements Scheduler {
    private final ManualScheduler time;
    private final List<Runnable> held = new ArrayList<>();
    private boolean frozen;
    private boolean killed;

    GatedScheduler(ManualScheduler time) {
        this.time = time;
    }

    @Override
    public long nanoTime() {
        return time.nanoTime();
    }

    @Override
    public long wallMillis() {
        return time.wallMillis();
    }

    @Override
    public Timer schedule(Duration delay, Runnable task) {
        return time.schedule(delay, () -> run(task));
    }

    /** Runs a task as the node would: now, after the thaw, or never. */
    void run(Runnable task) {
        if (killed) {
            return;
        }
        if (frozen) {
            held.add(task);
        } else {
            task.run();
        }
    }

    boolean isLive() {
        return !killed && !frozen;
    }

    void kill() {
        killed = true;
        held.clear();
    }

    void freeze() {
        frozen = true;
    }

    void thaw() {
        frozen = false;
        List<Runnable> due = new ArrayList<>(held);
        held.clear();
        due.forEach(Runnable::run);
    }
}
