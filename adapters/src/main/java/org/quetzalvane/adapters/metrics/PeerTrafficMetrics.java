package org.quetzalvane.adapters.metrics;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import org.quetzalvane.adapters.peer.FrameListener;
import org.quetzalvane.core.peer.PeerMessage;

/**
 * Bytes of the frames between nodes, those of forwarded requests apart from the control messages. Thread-safe.
 */
public final class PeerTrafficMetrics implements FrameListener {
    private static final String REQUEST_MESSAGES = "Forward";

    private final Counter controlSent;
    private final Counter controlReceived;
    private final Counter requestSent;
    private final Counter requestReceived;

    /** Registers its metrics. */
    public PeerTrafficMetrics(MetricRegistry registry) {
        controlSent = registry.counter("control.peer.sent.bytes");
        controlReceived = registry.counter("control.peer.received.bytes");
        requestSent = registry.counter("forward.sent.bytes");
        requestReceived = registry.counter("forward.received.bytes");
    }

    @Override
    public void sent(PeerMessage message, int bytes) {
        (carriesRequest(message) ? requestSent : controlSent).inc(bytes);
    }

    @Override
    public void received(PeerMessage message, int bytes) {
        (carriesRequest(message) ? requestReceived : controlReceived).inc(bytes);
    }

    private static boolean carriesRequest(PeerMessage message) {
        return message.getClass().getSimpleName().startsWith(REQUEST_MESSAGES);
    }
}
