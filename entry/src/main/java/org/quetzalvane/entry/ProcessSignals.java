package org.quetzalvane.entry;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;

import sun.misc.Signal;

/**
 * Handlers of the signals to this process. SIGHUP has no effect, since the settings of a running node do not change.
 * The first SIGTERM or SIGINT drains the node, after its start if it is still starting, and halts the process with exit
 * code 0; the exit code that the JVM gives after a signal counts as a failure. Thread-safe.
 */
final class ProcessSignals {
    private final AtomicBoolean stopping = new AtomicBoolean();
    private final CompletableFuture<EntryNode> started = new CompletableFuture<>();
    private boolean starting;

    void install() {
        Signal.handle(new Signal("HUP"), s -> {});
        Signal.handle(new Signal("TERM"), s -> stop());
        Signal.handle(new Signal("INT"), s -> stop());
    }

    /** A node is about to start; until then there is nothing to drain. */
    synchronized void nodeStarting() {
        starting = true;
    }

    /** The node serves. */
    void nodeStarted(EntryNode node) {
        started.complete(node);
    }

    private synchronized boolean hasNode() {
        return starting;
    }

    private void stop() {
        if (!stopping.compareAndSet(false, true)) {
            return;
        }
        if (hasNode()) {
            drain();
        }
        Runtime.getRuntime().halt(0);
    }

    private void drain() {
        try {
            started.join().stop();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
