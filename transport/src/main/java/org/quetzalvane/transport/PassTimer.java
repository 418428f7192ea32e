package org.quetzalvane.transport;

import io.netty.channel.IoHandlerContext;
import io.netty.util.concurrent.Ticker;

/**
 * Measures the passes of an event loop: how late the loop woke up for a timer, how long it handled I/O, and how long
 * the tasks took that ran before its next pass. Time for which it waits for I/O does not count. Confined to the event
 * loop.
 */
final class PassTimer {
    private final Listener listener;
    private long endNanos;
    private long lateNanos;
    private long ioNanos;
    private boolean measured;

    /** Receives the durations of a pass when the next one begins. */
    @FunctionalInterface
    interface Listener {
        /**
         * A pass has ended.
         *
         * @param lateNanos time from the deadline of the first timer to the wake-up, or 0
         * @param ioNanos time spent on I/O events
         * @param tasksNanos time from the end of the I/O to the next pass
         */
        void passed(long lateNanos, long ioNanos, long tasksNanos);
    }

    PassTimer(Listener listener) {
        this.listener = listener;
    }

    /** Begins a pass and ends the one before it. */
    void begin() {
        if (measured) {
            measured = false;
            listener.passed(lateNanos, ioNanos, now() - endNanos);
        }
    }

    /** Time in which the deadlines of timers are stated. */
    private static long now() {
        return Ticker.systemTicker().nanoTime();
    }

    /** The I/O of the present pass has been handled; the first timer is due at {@code deadlineNanos} or never (-1). */
    private void ioHandled(long activeNanos, long deadlineNanos) {
        measured = true;
        endNanos = now();
        ioNanos = activeNanos;
        lateNanos = deadlineNanos == -1 ? 0 : Math.max(0, endNanos - activeNanos - deadlineNanos);
    }

    /** The context of a pass that reports its time to this timer. */
    IoHandlerContext timed(IoHandlerContext context) {
        return new IoHandlerContext() {
            @Override
            public boolean canBlock() {
                return context.canBlock();
            }

            @Override
            public long delayNanos(long currentTimeNanos) {
                return context.delayNanos(currentTimeNanos);
            }

            @Override
            public long deadlineNanos() {
                return context.deadlineNanos();
            }

            @Override
            public void reportActiveIoTime(long activeNanos) {
                context.reportActiveIoTime(activeNanos);
                ioHandled(activeNanos, context.deadlineNanos());
            }

            @Override
            public boolean shouldReportActiveIoTime() {
                return true;
            }
        };
    }
}
