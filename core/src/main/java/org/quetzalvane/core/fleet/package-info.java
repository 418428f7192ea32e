/**
 * Endpoints as listed by the platform, and their known state while the list is late or unavailable. Used by
 * quetzalvane-entry.
 */
package org.quetzalvane.core.fleet;
