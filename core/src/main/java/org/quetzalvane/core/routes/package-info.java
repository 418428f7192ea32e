/** What the operator configures: routes, services, engines and limits, and which configuration is in force. */
package org.quetzalvane.core.routes;
