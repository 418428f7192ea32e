/** Numbered events with hybrid logical time, and the bounded log of each process. */
package org.quetzalvane.core.event;
