/** Numbered events with hybrid logical time, and the bounded buffer of recent events of each process. */
package org.quetzalvane.core.event;
