/** Immutable configuration objects: endpoints, adapters, versions, callers and access rules. */
package org.quetzalvane.core.model;
