/** The node daemon: connects the core with its adapters and serves the HTTP APIs for callers and operators. */
package org.quetzalvane.node;
