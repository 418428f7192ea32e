/** The daemon on every entry host of the users' platform: wires decisions, transport and platform together. */
package org.quetzalvane.entry;
