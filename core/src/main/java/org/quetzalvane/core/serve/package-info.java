/**
 * Handling of one request, from its arrival to its final response, over ports to callers and endpoints. Used by
 * quetzalvane-entry.
 */
package org.quetzalvane.core.serve;
