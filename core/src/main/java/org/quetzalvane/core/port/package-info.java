/** Ports to the outside: log service, engines, services, host list and peers. */
package org.quetzalvane.core.port;
