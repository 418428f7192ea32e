package org.quetzalvane.core.model;

/** A configuration object that operators publish, identified by kind and name. Implementations are immutable. */
public sealed interface ConfigObject
        permits BaseModel, EndpointConfig, Adapter, PublishedVersion, Caller, AccessRule, LoadLimits {

    /** The name, unique within the kind. */
    String name();

    Kind kind();

    /** The kinds of configuration objects, each with its label in configuration records. */
    enum Kind {
        BASE_MODEL("base-model"),
        ENGINE("engine"),
        SERVICE("service"),
        ADAPTER("adapter"),
        VERSION("version"),
        CALLER("caller"),
        ACCESS_RULE("access-rule"),
        LOAD_LIMITS("load-limits");

        private final String label;

        Kind(String label) {
            this.label = label;
        }

        public String label() {
            return label;
        }
    }
}
