/** Clock and timers, injected wherever time matters so that tests can pause and advance it. */
package org.quetzalvane.core.time;
