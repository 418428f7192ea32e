/** Replay of recorded traces against the scheduling code on a simulated clock, with fakes at its ports. */
package org.quetzalvane.standins.replay;
