/** Membership of the entry hosts and the placement order derived from it. */
package org.quetzalvane.core.cluster;
