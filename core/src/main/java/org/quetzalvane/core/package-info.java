/** Result codes and identifiers shared by every layer. */
package org.quetzalvane.core;
