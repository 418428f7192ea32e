/**
 * Follows keyed topics of the platform's store and keeps the newest record of each key, also through outages of the
 * store.
 */
package org.quetzalvane.core.store;
