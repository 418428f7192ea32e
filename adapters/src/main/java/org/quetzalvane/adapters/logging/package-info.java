/** Structured logging of numbered events. */
package org.quetzalvane.adapters.logging;
