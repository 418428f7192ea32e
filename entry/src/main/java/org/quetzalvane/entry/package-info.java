/** The daemon on every entry host of the users' platform: connects request handling, transport and platform. */
package org.quetzalvane.entry;
