package org.quetzalvane.core.load;

/**
 * Checks whether this node may send attempts and orders to an engine at this moment: it owns the engine and its lease
 * is valid. Implementations are thread-safe and cheap, since the check is made immediately before and after everything
 * that is sent to the engine.
 */
@FunctionalInterface
public interface OwnershipCheck {
    boolean isOwner();
}
