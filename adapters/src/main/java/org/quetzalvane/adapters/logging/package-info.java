/** Numbered events as structured log lines. */
package org.quetzalvane.adapters.logging;
