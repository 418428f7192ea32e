/** Residency of adapter versions on engines, and the orders that change it. Used by quetzalvane-entry. */
package org.quetzalvane.core.residency;
