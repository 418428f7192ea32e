/** HTTP/1.1 and framed TCP over one event loop; knows neither the platform's names nor any policy. */
package org.quetzalvane.transport;
