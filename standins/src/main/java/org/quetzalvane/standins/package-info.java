/** Stand-ins for the outside systems, run as processes of their own; never on the class path of a node. */
package org.quetzalvane.standins;
