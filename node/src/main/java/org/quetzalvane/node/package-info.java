/** The node daemon: wiring of core and adapters, and the interfaces towards callers, operators and peers. */
package org.quetzalvane.node;
