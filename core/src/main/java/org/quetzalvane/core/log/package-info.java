/** Reading a log stream in order, across outages and expired records. */
package org.quetzalvane.core.log;
