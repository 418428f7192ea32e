package org.quetzalvane.core.load;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.model.AdapterVersion;
import org.quetzalvane.core.request.InferenceRequest;
import org.quetzalvane.core.request.PendingRequest;
import org.quetzalvane.core.request.Refusal;
import org.quetzalvane.core.request.ResponseSink;

import static org.assertj.core.api.Assertions.assertThat;

/** Dispatch order of the queue of one engine. */
class WaitQueueTest {
    private static final AdapterVersion V = new AdapterVersion("a", 1);
    private static final long DEADLINE = 10_000_000_000L;

    @Test
    void firstRequestOfAnotherCallerPrecedesTheBacklogOfOneCaller() {
        WaitQueue queue = queue(DispatchPolicy.defaults());
        for (int i = 0; i < 5; i++) {
            add(queue, "flood", 0);
        }
        add(queue, "other", 0);

        assertThat(dispatchOrder(queue)).startsWith("flood", "other", "flood");
    }

    @Test
    void higherPriorityIsDispatchedFirst() {
        WaitQueue queue = queue(DispatchPolicy.defaults());
        add(queue, "low", 0);
        add(queue, "high", 1);

        assertThat(dispatchOrder(queue)).containsExactly("high", "low");
    }

    @Test
    void baselineDispatchesInOrderOfArrival() {
        WaitQueue queue = queue(DispatchPolicy.baseline());
        add(queue, "first", 0);
        add(queue, "first", 0);
        add(queue, "second", 1);

        assertThat(dispatchOrder(queue)).containsExactly("first", "first", "second");
    }

    private static WaitQueue queue(DispatchPolicy policy) {
        return new WaitQueue(policy, new BatchDelay(0.5, 16));
    }

    private static void add(WaitQueue queue, String caller, int priority) {
        InferenceRequest r = new InferenceRequest("q", caller, V, "p", 10, priority, 0, DEADLINE, true);
        queue.addLast(new PendingRequest(r, ignoringSink()), 0, DEADLINE);
    }

    private static List<String> dispatchOrder(WaitQueue queue) {
        List<String> dispatchedCallers = new ArrayList<>();
        while (queue.has(V)) {
            dispatchedCallers.add(queue.poll(V).request().caller());
        }
        return dispatchedCallers;
    }

    private static ResponseSink ignoringSink() {
        return new ResponseSink() {
            @Override
            public void part(String text) {}

            @Override
            public void completed(int tokens) {}

            @Override
            public void refused(Refusal refusal) {}

            @Override
            public void failed(ResultCode code, String message) {}
        };
    }
}
