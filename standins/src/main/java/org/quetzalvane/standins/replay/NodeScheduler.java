package org.quetzalvane.standins.replay;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.quetzalvane.core.time.ManualScheduler;
import org.quetzalvane.core.time.Scheduler;

/**
 * Scheduler of one node in a replay: tasks wait while the node is frozen and are dropped once it is killed.
 *
 * <p>The simulated time advances while the node is frozen, as for a stopped process. Not thread-safe.
 */
final class NodeScheduler implements Scheduler {
    private final ManualScheduler simulation;
    private final List<Runnable> heldTasks = new ArrayList<>();
    private boolean frozen;
    private boolean killed;

    NodeScheduler(ManualScheduler simulation) {
        this.simulation = simulation;
    }

    @Override
    public long nanoTime() {
        return simulation.nanoTime();
    }

    @Override
    public long wallMillis() {
        return simulation.wallMillis();
    }

    @Override
    public Timer schedule(Duration delay, Runnable task) {
        return simulation.schedule(delay, () -> runOnNode(task));
    }

    /** Runs a task at once if the node is live, after the thaw if it is frozen, and never if it is killed. */
    void runOnNode(Runnable task) {
        if (killed) {
            return;
        }
        if (frozen) {
            heldTasks.add(task);
        } else {
            task.run();
        }
    }

    boolean isLive() {
        return !killed && !frozen;
    }

    void kill() {
        killed = true;
        heldTasks.clear();
    }

    void freeze() {
        frozen = true;
    }

    void thaw() {
        frozen = false;
        List<Runnable> tasks = new ArrayList<>(heldTasks);
        heldTasks.clear();
        tasks.forEach(Runnable::run);
    }
}
