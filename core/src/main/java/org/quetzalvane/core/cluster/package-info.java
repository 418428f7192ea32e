/** Membership of the nodes, heartbeats between them, and rendezvous hashing. */
package org.quetzalvane.core.cluster;
