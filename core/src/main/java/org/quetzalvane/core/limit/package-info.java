/**
 * Limits of requests per second that endpoints name, and the permits under which requests are sent to these endpoints.
 * Also the account of the memory that a node holds for requests. Used by quetzalvane-transport and quetzalvane-entry.
 */
package org.quetzalvane.core.limit;
