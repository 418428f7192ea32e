/** Metrics of a node, kept in a Dropwizard registry. */
package org.quetzalvane.adapters.metrics;
