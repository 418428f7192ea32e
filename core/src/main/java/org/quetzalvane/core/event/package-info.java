/** Numbered events with hybrid logical time, kept in a bounded ring per process. */
package org.quetzalvane.core.event;
