/** Following keyed topics of the platform's store: the newest record of each key, also across its outages. */
package org.quetzalvane.core.store;
