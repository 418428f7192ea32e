package org.quetzalvane.adapters.peer;

import org.quetzalvane.core.peer.PeerMessage;

/** Hears of every frame between nodes and its size on the wire. Implementations are thread-safe and never block. */
public interface FrameMeter {

    /** A frame was written. */
    void sent(PeerMessage message, int bytes);

    /** A frame was read. */
    void received(PeerMessage message, int bytes);

    /** Hears nothing. */
    static FrameMeter none() {
        return new FrameMeter() {
            @Override
            public void sent(PeerMessage message, int bytes) {}

            @Override
            public void received(PeerMessage message, int bytes) {}
        };
    }
}
