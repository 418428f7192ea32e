/** The nodes among each other: their state reports and the assignment of partitions. */
package org.quetzalvane.core.team;
