/** Assembles the components of a node over its ports; the entry point for embedding programs. */
package org.quetzalvane.core.node;
