/** The exceptions of this project. */
package org.quetzalvane.core.exc;
