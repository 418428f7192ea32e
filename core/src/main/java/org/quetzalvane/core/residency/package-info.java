/** Residency of adapter versions on engines, and the orders that change it. */
package org.quetzalvane.core.residency;
