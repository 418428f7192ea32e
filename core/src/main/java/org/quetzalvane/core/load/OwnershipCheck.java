package org.quetzalvane.core.load;

/**
 * Whether this node may dispatch to and order an engine at this very moment. Thread-safe and cheap; asked immediately
 * before and after each write to the engine.
 */
@FunctionalInterface
public interface OwnershipCheck {
    boolean valid();
}
