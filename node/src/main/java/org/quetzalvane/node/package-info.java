/**
 * Stand-alone node daemon: wires the core to the implementations of its ports (HTTP, TCP, metrics, settings) and serves
 * the HTTP APIs for callers and operators. The daemon of the entry hosts is in {@code org.quetzalvane.entry}.
 */
package org.quetzalvane.node;
