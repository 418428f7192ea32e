/**
 * Operator configuration: routes, services, engines and limits, and the configuration in force. Used by
 * quetzalvane-entry.
 */
package org.quetzalvane.core.routes;
