/**
 * Daemon of the entry hosts: wires the request flow of the core to the HTTP transport and to the protocols of the
 * hosting platform. The stand-alone daemon, which uses its own log and peer protocol, is in {@code
 * org.quetzalvane.node}.
 */
package org.quetzalvane.entry;
