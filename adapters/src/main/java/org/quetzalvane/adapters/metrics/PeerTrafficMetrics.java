package org.quetzalvane.adapters.metrics;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import org.quetzalvane.adapters.peer.FrameListener;
import org.quetzalvane.core.peer.PeerMessage;

/**
 * Counts the bytes of frames sent to and received from other nodes, with messages of forwarded requests counted apart
 * from control messages. Thread-safe.
 */
public final class PeerTrafficMetrics implements FrameListener {
    /** Start of the simple names of the {@link PeerMessage} types that belong to forwarded requests. */
    private static final String FORWARD_TYPE_PREFIX = "Forward";

    private final Counter controlSent;
    private final Counter controlReceived;
    private final Counter forwardSent;
    private final Counter forwardReceived;

    /** Creates the metrics in a registry. */
    public PeerTrafficMetrics(MetricRegistry registry) {
        controlSent = registry.counter("control.peer.sent.bytes");
        controlReceived = registry.counter("control.peer.received.bytes");
        forwardSent = registry.counter("forward.sent.bytes");
        forwardReceived = registry.counter("forward.received.bytes");
    }

    @Override
    public void sent(PeerMessage message, int bytes) {
        (belongsToForwardedRequest(message) ? forwardSent : controlSent).inc(bytes);
    }

    @Override
    public void received(PeerMessage message, int bytes) {
        (belongsToForwardedRequest(message) ? forwardReceived : controlReceived).inc(bytes);
    }

    private static boolean belongsToForwardedRequest(PeerMessage message) {
        return message.getClass().getSimpleName().startsWith(FORWARD_TYPE_PREFIX);
    }
}
