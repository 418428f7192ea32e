/** Operator configuration: routes, services, engines and limits, and the configuration in force. */
package org.quetzalvane.core.routes;
