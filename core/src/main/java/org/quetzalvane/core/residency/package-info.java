/** Which engine holds which adapter version, and the orders that change it. */
package org.quetzalvane.core.residency;
