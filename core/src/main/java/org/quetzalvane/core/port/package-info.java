/** Ports to external systems: the log service, engines, services and the host list. */
package org.quetzalvane.core.port;
