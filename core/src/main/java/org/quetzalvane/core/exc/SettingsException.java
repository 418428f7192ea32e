package org.quetzalvane.core.exc;

import java.util.List;

import org.quetzalvane.core.ResultCode;

/** Thrown when settings are invalid; carries all violations. Immutable. */
public class SettingsException extends QuetzalvaneException {
    private static final long serialVersionUID = 1L;

    private final transient List<Violation> violations;

    /**
     * A setting with an invalid key or value. Immutable.
     *
     * @param key key of the setting, with its table
     * @param value the value found, or empty
     * @param message what is wrong and which values are allowed
     */
    public record Violation(String key, String value, String message) {

        @Override
        public String toString() {
            return value.isEmpty() ? key + ": " + message : key + " = " + value + ": " + message;
        }
    }

    /** Creates the exception; its message has one line per violation. */
    public SettingsException(List<Violation> violations) {
        super(
                ResultCode.SETTINGS_INVALID,
                String.join("\n", violations.stream().map(Violation::toString).toList()));
        this.violations = List.copyOf(violations);
    }

    public List<Violation> violations() {
        return violations;
    }
}
