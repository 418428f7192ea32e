/** The entry hosts among themselves: who is ready, who holds which duty. */
package org.quetzalvane.core.team;
