/** Per-engine dispatch: adapter slots, loads, eviction, batch forming and the load budget. */
package org.quetzalvane.core.load;
