/** Messages between nodes, and the port that sends and receives them. */
package org.quetzalvane.core.peer;
