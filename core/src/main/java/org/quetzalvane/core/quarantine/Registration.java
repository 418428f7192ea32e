package org.quetzalvane.core.quarantine;

/** A registered callback; closing it again has no effect. */
@FunctionalInterface
public interface Registration {
    void close();
}
