package org.quetzalvane.adapters.peer;

import org.quetzalvane.core.peer.PeerMessage;

/**
 * One frame on a peer connection, after the handshake. Immutable.
 *
 * @param id identifier of the call, unique among the calls of one side of the connection
 * @param answer whether the frame belongs to the reply
 * @param last whether no further frame follows in this direction of the call
 * @param message the message
 */
record Frame(long id, boolean answer, boolean last, PeerMessage message) {}
