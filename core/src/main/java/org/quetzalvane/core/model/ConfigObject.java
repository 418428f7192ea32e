package org.quetzalvane.core.model;

/** Anything that operators publish. Identified by kind and name. Implementations are immutable. */
public sealed interface ConfigObject
        permits BaseModel, Endpoint, Adapter, PublishedVersion, Caller, AccessRule, LoadLimits {

    /** Name, unique within the kind. */
    String name();

    Kind kind();

    /** The kinds of object, with the word that records use for each. */
    enum Kind {
        BASE_MODEL("base-model"),
        ENGINE("engine"),
        SERVICE("service"),
        ADAPTER("adapter"),
        VERSION("version"),
        CALLER("caller"),
        ACCESS_RULE("access-rule"),
        LOAD_LIMITS("load-limits");

        private final String word;

        Kind(String word) {
            this.word = word;
        }

        public String word() {
            return word;
        }
    }
}
