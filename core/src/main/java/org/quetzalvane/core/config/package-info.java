/** The replicated configuration: its records, their deterministic application, and snapshots of the state. */
package org.quetzalvane.core.config;
