/** Comparison of two checkouts of the project on days of the users' bench, seed by seed. */
package org.quetzalvane.bench.days;
