/** Endpoints as the platform's list shows them, and what is believed when the list is late or away. */
package org.quetzalvane.core.fleet;
