/**
 * Follows keyed topics of the platform's store and keeps the newest record of each key, also through outages of the
 * store. Used by quetzalvane-entry.
 */
package org.quetzalvane.core.store;
