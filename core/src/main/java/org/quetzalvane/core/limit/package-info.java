/**
 * Limits of requests per second that endpoints name, and the permits under which requests are sent to these endpoints.
 * Used by quetzalvane-entry.
 */
package org.quetzalvane.core.limit;
