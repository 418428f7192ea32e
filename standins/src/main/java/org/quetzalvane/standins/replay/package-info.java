/** Replay of recorded traces against the decision code on a paused clock, with fakes at its ports. */
package org.quetzalvane.standins.replay;
