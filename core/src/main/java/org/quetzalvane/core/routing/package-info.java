/** Access checks and placement: the engine that serves a request and the node that owns it. */
package org.quetzalvane.core.routing;
