/** Engine ownership: claims, leases and fencing numbers on the log. */
package org.quetzalvane.core.ownership;
