/** Benchmarks of decision times, and of the memory and messages that the state of a node requires. */
package org.quetzalvane.bench;
