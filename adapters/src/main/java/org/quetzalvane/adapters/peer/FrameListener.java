package org.quetzalvane.adapters.peer;

import org.quetzalvane.core.peer.PeerMessage;

/**
 * Listener for the frames of peer connections, except those of the handshake. Implementations must be thread-safe and
 * must not block.
 */
public interface FrameListener {

    /** Called after a frame was written; {@code bytes} includes the length field. */
    void sent(PeerMessage message, int bytes);

    /** Called after a frame was read; {@code bytes} includes the length field. */
    void received(PeerMessage message, int bytes);

    /** Returns a listener that does nothing. */
    static FrameListener none() {
        return new FrameListener() {
            @Override
            public void sent(PeerMessage message, int bytes) {}

            @Override
            public void received(PeerMessage message, int bytes) {}
        };
    }
}
