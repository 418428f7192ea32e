/** Stand-ins for external systems, run as separate processes; never on the class path of a node. */
package org.quetzalvane.standins;
