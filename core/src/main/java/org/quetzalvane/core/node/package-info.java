/** The assembly of all coordination parts into one node, over ports; what an embedding program uses. */
package org.quetzalvane.core.node;
