/**
 * Cooperation of the nodes: the status that they send to each other and the assignment of partitions. Used by
 * quetzalvane-entry.
 */
package org.quetzalvane.core.team;
