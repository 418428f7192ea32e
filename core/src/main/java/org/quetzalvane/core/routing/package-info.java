/**
 * Access checks and placement: the engine that serves a request and the node that owns the engine. Used by
 * quetzalvane-node.
 */
package org.quetzalvane.core.routing;
