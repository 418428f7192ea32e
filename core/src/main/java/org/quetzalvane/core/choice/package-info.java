/**
 * Selection of endpoints, admission, outlier detection and the shared retry budget; all free of I/O. Used by
 * quetzalvane-entry.
 */
package org.quetzalvane.core.choice;
