package org.quetzalvane.adapters.peer;

import org.quetzalvane.core.peer.PeerMessage;

/**
 * One frame after the handshake. Immutable.
 *
 * @param id number of the call on its connection
 * @param answer whether it goes back to the caller
 * @param last whether it ends the answer
 * @param message the message
 */
record Frame(long id, boolean answer, boolean last, PeerMessage message) {}
