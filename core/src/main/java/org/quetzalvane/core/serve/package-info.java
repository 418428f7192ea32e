/** Handling of one request, from its arrival to its final response, over ports to callers and endpoints. */
package org.quetzalvane.core.serve;
