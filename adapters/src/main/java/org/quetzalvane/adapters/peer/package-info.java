/** Peer messages as MessagePack frames over TCP. */
package org.quetzalvane.adapters.peer;
