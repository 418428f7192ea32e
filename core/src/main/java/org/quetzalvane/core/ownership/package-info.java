/** Ownership of engines: leases, claims and fencing tokens, agreed on through a stream of the log. */
package org.quetzalvane.core.ownership;
