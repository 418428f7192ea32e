/** Settings of a node in TOML. */
package org.quetzalvane.adapters.settings;
