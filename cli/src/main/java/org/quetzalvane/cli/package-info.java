/** The command line tool for operators. */
package org.quetzalvane.cli;
