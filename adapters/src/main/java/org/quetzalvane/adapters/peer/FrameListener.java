package org.quetzalvane.adapters.peer;

import org.quetzalvane.core.peer.PeerMessage;

/**
 * Is notified of every frame sent to or received from other nodes. Implementations must be thread-safe and must not
 * block.
 */
public interface FrameListener {

    /** Called after a frame of the given size on the wire was written. */
    void sent(PeerMessage message, int bytes);

    /** Called after a frame of the given size on the wire was read. */
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
