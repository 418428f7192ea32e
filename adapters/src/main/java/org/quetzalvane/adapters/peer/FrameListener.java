package org.quetzalvane.adapters.peer;

import org.quetzalvane.core.peer.PeerMessage;

/** Hears of every frame between nodes and its size on the wire. Implementations are thread-safe and never block. */
public interface FrameListener {

    /** A frame was written. */
    void sent(PeerMessage message, int bytes);

    /** A frame was read. */
    void received(PeerMessage message, int bytes);

    /** Hears nothing. */
    static FrameListener none() {
        return new FrameListener() {
            @Override
            public void sent(PeerMessage message, int bytes) {}

            @Override
            public void received(PeerMessage message, int bytes) {}
        };
    }
}
