/** HTTP/1.1 and framed TCP on one event loop, independent of the platform's names and of any policy. */
package org.quetzalvane.transport;
