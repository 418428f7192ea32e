/** The deterministic fold of configuration records into the state that is in force. */
package org.quetzalvane.core.config;
