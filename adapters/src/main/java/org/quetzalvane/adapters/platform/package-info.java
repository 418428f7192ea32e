/** Implementations of the ports to the platform's log service and host list over HTTP. */
package org.quetzalvane.adapters.platform;
