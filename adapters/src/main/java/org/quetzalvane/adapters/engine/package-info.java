/** Implementations of the ports to engines and services over HTTP. */
package org.quetzalvane.adapters.engine;
