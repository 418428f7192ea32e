/** Measures of the decisions' time and of the memory and messages that a node's state costs. */
package org.quetzalvane.bench;
