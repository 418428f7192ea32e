/** The operators' command line tool. */
package org.quetzalvane.cli;
