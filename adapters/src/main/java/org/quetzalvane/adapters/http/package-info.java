/** HTTP server and client helpers over Jetty. */
package org.quetzalvane.adapters.http;
