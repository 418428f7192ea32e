/** The exception root and its typed children. */
package org.quetzalvane.core.exc;
