package org.quetzalvane.core.store;

import java.time.Duration;
import java.util.function.Consumer;

import org.quetzalvane.core.time.Scheduler;
import org.quetzalvane.core.time.Stopwatch;

/**
 * Calls of a topic of which each leads to the next one.
 *
 * <p>Invariant: the chain does not end, whatever a call or its callback does. The timer of a call, which makes another
 * one, is cancelled only once the next step has been scheduled. Confined to the event loop.
 */
final class CallChain {
    private final Scheduler scheduler;
    /** Number of the last call sent; those before it are overdue or settled. */
    private long lastCall;
    /** Calls up to this number no longer decide what is called next. */
    private long lastSettled;
    /** Runs since the last call was sent; null before the first. */
    private Stopwatch sinceSent;

    CallChain(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    /**
     * A call. Immutable.
     *
     * @param send sends the call, whose result is passed on
     * @param limitMs time after which the call is overdue if no next step follows from it, milliseconds
     * @param onOverdue makes another call then, while the result of this one may still arrive
     * @param process processes the result, also a late one
     * @param next schedules what follows from the result, unless another call has decided it or still can
     */
    record Call(
            Consumer<Consumer<KeyedTopic.ReadResult>> send,
            long limitMs,
            Runnable onOverdue,
            Consumer<KeyedTopic.ReadResult> process,
            Consumer<KeyedTopic.ReadResult> next) {}

    /** Sends a call, and another one once it is overdue. */
    void send(Call c) {
        long number = ++lastCall;
        sinceSent = Stopwatch.start(scheduler);
        Runnable ifUnsettled = () -> {
            if (number > lastSettled) {
                c.onOverdue().run();
            }
        };
        sendWatched(scheduler, c.send(), c.limitMs(), ifUnsettled, page -> {
            c.process().accept(page);
            settle(number, page, c.next());
        });
    }

    /** Leaves what is called next to the caller, whatever the results of the calls in progress. */
    void settleAll() {
        lastSettled = lastCall;
    }

    /** Time since the last call was sent, milliseconds; 0 before the first. */
    long msSinceSent() {
        return sinceSent == null ? 0 : sinceSent.elapsedMs();
    }

    /** Continues after the first of the calls in progress that did not fail, or after the last one. */
    private void settle(long number, KeyedTopic.ReadResult page, Consumer<KeyedTopic.ReadResult> next) {
        boolean awaitsAnother = page.outcome() == KeyedTopic.Outcome.FAILED && number < lastCall;
        if (number > lastSettled && !awaitsAnother) {
            long settled = lastCall;
            next.accept(page);
            lastSettled = Math.max(lastSettled, settled);
        }
    }

    /**
     * Sends a call and runs a task after a time, unless the result was processed before. A call that throws has failed.
     *
     * @param process processes the result
     */
    static void sendWatched(
            Scheduler scheduler,
            Consumer<Consumer<KeyedTopic.ReadResult>> send,
            long limitMs,
            Runnable onLimit,
            Consumer<KeyedTopic.ReadResult> process) {
        Scheduler.Timer timer = scheduler.schedule(Duration.ofMillis(limitMs), onLimit);
        Consumer<KeyedTopic.ReadResult> completion = page -> {
            process.accept(page);
            timer.cancel();
        };
        try {
            send.accept(completion);
        } catch (RuntimeException e) {
            completion.accept(KeyedTopic.ReadResult.failed(e.toString()));
        }
    }
}
