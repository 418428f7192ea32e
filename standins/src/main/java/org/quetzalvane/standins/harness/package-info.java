/** Starts stand-ins and nodes as child processes on loopback, for tests and the demonstration. */
package org.quetzalvane.standins.harness;
