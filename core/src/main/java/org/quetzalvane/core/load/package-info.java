/** Dispatch of requests to engines: adapter slots, loads, evictions, batching and the load budget. */
package org.quetzalvane.core.load;
