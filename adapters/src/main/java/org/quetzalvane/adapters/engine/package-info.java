/** Engines and services over HTTP. */
package org.quetzalvane.adapters.engine;
