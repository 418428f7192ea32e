package org.quetzalvane.core.model;

/**
 * A caller, identified by the hash of its token. Immutable.
 *
 * @param name unique name
 * @param tokenSha256 SHA-256 of the bearer token, in lower-case hexadecimal
 */
public record Caller(String name, String tokenSha256) implements ConfigObject {

    @Override
    public Kind kind() {
        return Kind.CALLER;
    }
}
