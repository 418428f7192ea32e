/** Dropwizard metrics. */
package org.quetzalvane.adapters.metrics;
