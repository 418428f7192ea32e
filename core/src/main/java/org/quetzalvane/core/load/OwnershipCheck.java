package org.quetzalvane.core.load;

/**
 * Checks whether this node owns an engine and its lease is valid now. Implementations are thread-safe and cheap, since
 * the check is made immediately before and after an attempt is sent and before each load or unload order.
 */
@FunctionalInterface
public interface OwnershipCheck {
    boolean isOwner();
}
