/** HTTP server and client based on Jetty. */
package org.quetzalvane.adapters.http;
