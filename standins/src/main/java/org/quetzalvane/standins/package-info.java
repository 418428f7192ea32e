/** Stand-ins for the platform, engines and services, run as separate processes. No class of a node depends on them. */
package org.quetzalvane.standins;
