/**
 * Quarantine of prompt parts under which endpoints crash: the evidence, its judgement and the port of the request path.
 * Free of messages; {@code org.quetzalvane.core.team} shares the evidence between the nodes.
 */
package org.quetzalvane.core.quarantine;
