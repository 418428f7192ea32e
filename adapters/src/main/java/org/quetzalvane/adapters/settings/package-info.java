/** Settings in TOML. */
package org.quetzalvane.adapters.settings;
