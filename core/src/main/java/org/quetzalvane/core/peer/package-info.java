/** Typed messages between nodes. */
package org.quetzalvane.core.peer;
