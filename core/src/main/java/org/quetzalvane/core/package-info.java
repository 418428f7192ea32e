/** Result codes, shared by all layers. */
package org.quetzalvane.core;
